use {
    crate::policy::stable_hash,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Identifies a stream: a hash of the attempt id of the call that began it. It is the same at
/// every router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(#[serde(with = "postcard::fixint::le")] pub u64);

impl StreamKey {
    /// The key of the stream that began in answer to this attempt.
    pub fn new(attempt_id: &str) -> Self {
        Self(stable_hash(&attempt_id))
    }
}

impl fmt::Display for StreamKey {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
