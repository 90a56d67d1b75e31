use {crate::codes::ResultCode, std::fmt};

/// An error in a settings or configuration file, and where it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfError {
    pub code: ResultCode,
    pub file: String,    // path, or name of a part of a fetched configuration
    pub section: String, // empty if the error is not in a section
    pub key: String,     // empty if the error is not about a key
    pub line: usize,     // counted from 1; 0 if unknown
    pub detail: String,  // what was found, and what is allowed
}

impl ConfError {
    /// Creates an error about a whole file.
    pub fn of_file(
        code: ResultCode,
        file: &str,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            code,
            file: file.to_owned(),
            section: String::new(),
            key: String::new(),
            line: 0,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for ConfError {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        write!(f, "error {}: {}", self.code.number(), self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.detail)
    }
}

impl std::error::Error for ConfError {}
