use {
    crate::policy::stable_hash,
    serde::{Deserialize, Serialize},
};

/// A version of the software of a service's replicas: a hash of both names that is the same in
/// every process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SoftwareVersion(#[serde(with = "postcard::fixint::le")] pub u64);

impl SoftwareVersion {
    /// The version that replicas of this service state.
    pub fn new(
        service: &str,
        version: &str,
    ) -> Self {
        Self(stable_hash(&(service, version)))
    }
}
