use {
    super::ControlMessage,
    crate::fleet::Revision,
    serde::{Deserialize, Serialize},
};

/// A control message with the configuration its sender has in force, so that
/// whoever is behind notices and fetches it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    pub revision: Revision, // 0 before the first configuration
    pub digest: String,     // first digits of its SHA-256
    pub message: ControlMessage,
}
