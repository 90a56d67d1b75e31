use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Identifies one run of a process on a host, from start to exit. A restarted process has a higher
/// one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Combines the wall clock at start, in milliseconds, with a random number that
    /// distinguishes two starts within one millisecond.
    pub fn new(
        unix_millis: u64,
        random: u16,
    ) -> Self {
        Self(unix_millis << 16 | u64::from(random))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
