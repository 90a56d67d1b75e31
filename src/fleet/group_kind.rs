/// What the upstreams of a group speak.
#[derive(Debug, Clone, PartialEq)]
pub enum GroupKind {
    /// The chat-completions interface, for these models.
    Model {
        models: Vec<String>,
        prompt_weight: f64,    // service units per prompt token
        generated_weight: f64, // service units per generated token
    },
    /// Any HTTP service below a path prefix.
    Plain {
        prefix: String,
        second_weight: f64, // service units per second of a slot
    },
}
