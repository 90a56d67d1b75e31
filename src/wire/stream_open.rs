use {
    super::RequestHead,
    serde::{Deserialize, Serialize},
};

/// The first frame of a stream, which says what the stream is for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StreamOpen {
    Exchange(Box<RequestHead>),
    /// Asks for the configuration in force, without these parts.
    FetchConfig {
        have: Vec<String>, // digests
    },
}
