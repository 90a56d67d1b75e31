use {super::ResultCode, std::fmt};

/// A numbered error with what was found. Links, messages and the platform's
/// service all fail with one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    pub code: ResultCode,
    pub detail: String,
}

impl Fault {
    /// A fault with this code.
    pub fn new(
        code: ResultCode,
        detail: impl fmt::Display,
    ) -> Self {
        Self {
            code,
            detail: detail.to_string(),
        }
    }

    /// No connection to a peer, or it ended: code 74.
    pub fn unreachable(detail: impl fmt::Display) -> Self {
        Self::new(ResultCode::PeerUnreachable, detail)
    }
}

impl fmt::Display for Fault {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.detail)
    }
}

impl std::error::Error for Fault {}
