/// The interface of a group's upstreams, and the weights of their service.
#[derive(Debug, Clone, PartialEq)]
pub enum GroupKind {
    /// The chat-completions API, for these models.
    Model {
        models: Vec<String>,
        prompt_weight: f64,    // service units per prompt token
        generated_weight: f64, // service units per generated token
    },
    /// Any HTTP service, under a path prefix.
    Plain {
        prefix: String,
        second_weight: f64, // service units per second that a slot is in use
    },
}
