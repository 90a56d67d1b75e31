use {
    super::ControlMessage,
    crate::fleet::Revision,
    serde::{Deserialize, Serialize},
};

/// A control message with the sender's configuration revision, so that a receiver with an
/// older one notices and fetches it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    pub revision: Revision, // 0 if the sender has no configuration yet
    pub digest: String,     // leading hexadecimal digits of the configuration's SHA-256
    pub message: ControlMessage,
}
