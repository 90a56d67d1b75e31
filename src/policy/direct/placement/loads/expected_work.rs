/// What was expected of a prompt when it was sent, of an engine as quick as its service's
/// usually are.
#[derive(Debug, Clone, Copy)]
pub struct ExpectedWork {
    pub front_ms: f64, // of reading believed to be in front, and of fetching
    pub first_ms: f64, // until its first token, with that
}
