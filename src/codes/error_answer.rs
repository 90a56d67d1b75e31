use {
    super::{Ran, ResultCode},
    serde::Serialize,
    std::time::Duration,
};

/// Tells a caller why its request failed, or why its answer is incomplete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorAnswer {
    pub code: ResultCode,
    pub ran: Ran,
    pub retry_after: Option<Duration>,
    pub detail: String, // replaces the code's meaning in the body, if not empty
}

#[derive(Serialize)]
struct Body<'b> {
    error: Error<'b>,
}

#[derive(Serialize)]
struct Error<'b> {
    message: &'b str,
    r#type: &'static str,
    code: u8,
    ran: Ran,
    request_id: &'b str,
}

impl ErrorAnswer {
    /// Creates an error with the text of its code.
    pub fn new(code: ResultCode) -> Self {
        Self {
            code,
            ran: code.ran(),
            retry_after: None,
            detail: String::new(),
        }
    }

    /// Sets after what time the caller should retry.
    pub fn retry_after(
        mut self,
        wait: Duration,
    ) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Sets a text that replaces the code's.
    pub fn detail(
        mut self,
        detail: impl Into<String>,
    ) -> Self {
        self.detail = detail.into();
        self
    }

    /// The HTTP status; 500 for a code that has none, since it is not meant for callers.
    pub fn status(&self) -> u16 {
        match self.code.http_status() {
            0 => 500,
            status => status,
        }
    }

    /// The body, as JSON in the format of errors of the chat-completions API.
    pub fn to_json(
        &self,
        request_id: &str,
    ) -> String {
        let message = if self.detail.is_empty() {
            self.code.meaning()
        } else {
            &self.detail
        };
        let body = Body {
            error: Error {
                message,
                r#type: "archmast_error",
                code: self.code.number(),
                ran: self.ran,
                request_id,
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }
}
