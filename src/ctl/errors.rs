use {
    crate::{
        codes::{Fault, ResultCode},
        conf::ConfError,
    },
    std::fmt,
};

/// A command failed. The number of the code is the exit code.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CtlError {
    pub code: ResultCode,
    pub detail: String,
}

impl CtlError {
    /// Creates an error with a description.
    pub fn new(
        code: ResultCode,
        detail: impl fmt::Display,
    ) -> Self {
        Self {
            code,
            detail: detail.to_string(),
        }
    }

    /// Creates an error about the command line, with `ResultCode::Usage` (90).
    pub fn usage(detail: impl fmt::Display) -> Self {
        Self::new(ResultCode::Usage, detail)
    }
}

impl fmt::Display for CtlError {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "error {}: {}", self.code.number(), self.detail)
    }
}

impl std::error::Error for CtlError {}

impl From<ConfError> for CtlError {
    fn from(error: ConfError) -> Self {
        let text = error.to_string();
        let prefix = format!("error {}: ", error.code.number());
        let detail = text.strip_prefix(&prefix).unwrap_or(&text);
        Self::new(error.code, detail)
    }
}

impl From<Fault> for CtlError {
    fn from(error: Fault) -> Self {
        Self::new(error.code, error.detail)
    }
}
