use {
    super::ResultCode,
    std::{error::Error, fmt, iter::successors},
};

/// A numbered error with what was found. Links, messages and the platform's
/// service all fail with one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    pub code: ResultCode,
    pub detail: String,
}

impl Fault {
    /// A fault with this code.
    pub fn new(
        code: ResultCode,
        detail: impl fmt::Display,
    ) -> Self {
        Self {
            code,
            detail: detail.to_string(),
        }
    }

    /// A fault with this code, of an error and of all that caused it: a library's
    /// error says by itself only that a call failed, and its causes whether it was
    /// refused, cut or not answered in time.
    pub fn caused(
        code: ResultCode,
        error: &(dyn Error + 'static),
    ) -> Self {
        let causes = successors(Some(error), |error| (*error).source());
        let texts: Vec<String> = causes.map(ToString::to_string).collect();
        Self::new(code, texts.join(": "))
    }

    /// No connection to a peer, or it ended: code 74.
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
