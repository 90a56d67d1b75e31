use {
    ring::digest,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Identifies a client account in messages between processes: the first eight bytes of the SHA-256
/// of its name, so that all processes derive the same number.
///
/// A configuration with two names that have the same number is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AccountId(pub u64);

impl AccountId {
    /// The identifier of an account, from its name.
    pub fn of_name(name: &str) -> Self {
        let digest = digest::digest(&digest::SHA256, name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&digest.as_ref()[..8]);
        Self(u64::from_be_bytes(first))
    }
}

impl fmt::Display for AccountId {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
