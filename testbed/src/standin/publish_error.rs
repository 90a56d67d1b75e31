use std::fmt;

/// Why a value was not published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublishError {
    TooLarge,
    Raced, // the key is not at the expected revision
}

impl fmt::Display for PublishError {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "the value is over a megabyte",
            Self::Raced => "another operator published first",
        })
    }
}
