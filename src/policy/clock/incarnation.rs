use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// One life of a process on a host. A restarted process has a higher one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// From the wall clock at start in milliseconds and a random number that
    /// tells two starts within one millisecond apart.
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
