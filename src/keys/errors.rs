use {crate::codes::ResultCode, std::fmt};

/// An error about a key, a certificate or the command line that handles them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyError {
    pub code: ResultCode,
    pub file: String,   // path, or `command line`, `authority` or `certificate`
    pub detail: String, // never key material
}

impl KeyError {
    /// Creates an error about a file.
    pub fn new(
        code: ResultCode,
        file: &str,
        detail: impl fmt::Display,
    ) -> Self {
        Self {
            code,
            file: file.to_owned(),
            detail: detail.to_string(),
        }
    }
}

impl fmt::Display for KeyError {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(
            f,
            "error {}: {}: {}",
            self.code.number(),
            self.file,
            self.detail
        )
    }
}

impl std::error::Error for KeyError {}
