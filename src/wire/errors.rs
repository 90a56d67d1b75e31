use {crate::codes::ResultCode, std::fmt};

/// Why bytes from a peer are no message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError {
    pub code: ResultCode,
    pub detail: String,
}

impl WireError {
    /// An error with this code.
    pub fn new(
        code: ResultCode,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            code,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for WireError {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.detail)
    }
}

impl std::error::Error for WireError {}
