use {
    ring::digest,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A client account between processes: the first eight bytes of its name's
/// SHA-256, so that every process derives the same number without agreement.
///
/// The validator refuses two names with one number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AccountId(pub u64);

impl AccountId {
    /// The identifier of the account with this name.
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
