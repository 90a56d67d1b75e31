use {
    super::{SoftwareVersion, StreamKey},
    serde::{Deserialize, Serialize},
};

/// The origin of one stream, as sent to other routers. It carries a remaining time in place of a
/// moment, since moments of two processes cannot be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    pub key: StreamKey,
    pub version: Option<SoftwareVersion>, // `None` if it is ambiguous
    pub remaining_ms: u32,                // until the record expires
}
