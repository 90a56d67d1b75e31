use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The platform's revision number of a configuration or host list. Higher is newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        self.0.fmt(f)
    }
}
