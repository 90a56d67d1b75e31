use {crate::codes::ResultCode, std::fmt};

/// Why a connection could not be had or did not last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkError {
    pub code: ResultCode,
    pub detail: String,
}

impl LinkError {
    /// An error with this code.
    pub fn new(
        code: ResultCode,
        detail: impl fmt::Display,
    ) -> Self {
        Self {
            code,
            detail: detail.to_string(),
        }
    }

    /// No connection, or it ended.
    pub fn unreachable(detail: impl fmt::Display) -> Self {
        Self::new(ResultCode::PeerUnreachable, detail)
    }
}

impl fmt::Display for LinkError {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.detail)
    }
}

impl std::error::Error for LinkError {}
