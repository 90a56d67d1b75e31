use {crate::codes::ResultCode, std::fmt};

/// Why the platform's service gave no value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformError {
    pub code: ResultCode,
    pub detail: String,
}

impl PlatformError {
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
}

impl fmt::Display for PlatformError {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.detail)
    }
}

impl std::error::Error for PlatformError {}
