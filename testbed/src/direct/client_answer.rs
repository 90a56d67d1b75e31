use std::{collections::HashMap, time::Duration};

/// What a client got for one request.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientAnswer {
    pub status: u16,                      // 0: the connection ended before a head
    pub headers: HashMap<String, String>, // names in lower case
    pub body: Vec<u8>,
    pub whole: bool, // the body came to its stated end
}

impl ClientAnswer {
    /// A header's text; empty if there is none.
    pub fn header(
        &self,
        name: &str,
    ) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The number of the product's own error; none for a replica's answer.
    pub fn code(&self) -> Option<u64> {
        let body: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        body["error"]["code"].as_u64()
    }

    /// When to come back, if it says so.
    pub fn retry_after(&self) -> Option<Duration> {
        let seconds = self.header("retry-after").parse().ok()?;
        Duration::try_from_secs_f64(seconds).ok()
    }
}
