use crate::fleet::Revision;

/// A value of the platform's service, with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchedValue {
    pub revision: Revision,
    pub text: String,
}
