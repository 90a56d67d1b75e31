use std::{error::Error, fmt};

/// A message whose end cannot be found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedMessage;

impl fmt::Display for MalformedMessage {
    fn fmt(
        &self,
        formatter: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        formatter.write_str("malformed message")
    }
}

impl Error for MalformedMessage {}
