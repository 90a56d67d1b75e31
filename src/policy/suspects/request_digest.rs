use {
    crate::policy::stable_hash,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// What makes two tries the same request, whatever their ids: method, path and query,
/// client account and body. The same at every router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// The digest of a request that was read whole.
    pub fn new(
        method: &str,
        target: &str,
        account: &str,
        body: &[u8],
    ) -> Self {
        Self(stable_hash(&(method, target, account, body)))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
