use crate::fleet::Revision;

/// A value of the platform's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Watched {
    pub revision: Revision,
    pub text: String,
}
