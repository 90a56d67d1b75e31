use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// What is known about whether a request ran on its upstream.
///
/// `No` is certain: the request was not sent, or its receiver stated that it did not start it and
/// never will. Without such a statement or an answer, it is `Unknown`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    No,
    Unknown,
    Yes,
}

impl fmt::Display for Ran {
    fn fmt(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        f.write_str(match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        })
    }
}
