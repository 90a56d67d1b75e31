use {
    super::ResultCode,
    std::{error::Error, fmt, iter::successors},
};

/// An error with a result code and a description. Calls to peers, replicas and the platform's
/// service fail with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    pub code: ResultCode,
    pub detail: String,
}

impl Fault {
    /// Creates a fault; `detail` describes what was found.
    pub fn new(
        code: ResultCode,
        detail: impl fmt::Display,
    ) -> Self {
        Self {
            code,
            detail: detail.to_string(),
        }
    }

    /// Creates a fault from an error and its sources. The text of a library's error often says
    /// only that a call failed; its sources tell whether the connection was refused, was closed
    /// or timed out.
    pub fn with_causes(
        code: ResultCode,
        error: &(dyn Error + 'static),
    ) -> Self {
        let causes = successors(Some(error), |error| (*error).source());
        let texts: Vec<String> = causes.map(ToString::to_string).collect();
        Self::new(code, texts.join(": "))
    }

    /// Creates a fault with `ResultCode::PeerUnreachable` (74), for a connection to a peer that
    /// failed or was closed.
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

impl Error for Fault {}
