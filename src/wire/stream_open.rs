use {
    super::RequestHead,
    serde::{Deserialize, Serialize},
};

/// The first frame of a stream, which states its purpose.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StreamOpen {
    /// Sends a request, whose body follows.
    Exchange(Box<RequestHead>),
    /// Requests the configuration in force, without the parts that the sender already has.
    FetchConfig {
        have: Vec<String>, // digests of those parts
    },
}
