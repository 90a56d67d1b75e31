use std::{collections::HashMap, time::Duration};

/// A router's answer to one request, as the client received it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientAnswer {
    pub status: u16,                      // 0 if the connection ended before the head did
    pub headers: HashMap<String, String>, // names in lower case
    pub body: Vec<u8>,
    pub is_complete: bool, // the body was received up to its declared end
}

impl ClientAnswer {
    /// A header's value, empty if there is none. The name is in lower case.
    pub fn header(
        &self,
        name: &str,
    ) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Whether it is a success that was received to its end.
    pub fn is_whole_success(&self) -> bool {
        self.status == 200 && self.is_complete
    }

    /// The result code of an error answer of the router, none for a replica's answer.
    pub fn code(&self) -> Option<u64> {
        let body: serde_json::Value = serde_json::from_slice(&self.body).ok()?;
        body["error"]["code"].as_u64()
    }

    /// The time of the `Retry-After` header.
    pub fn retry_after(&self) -> Option<Duration> {
        let seconds = self.header("retry-after").parse().ok()?;
        Duration::try_from_secs_f64(seconds).ok()
    }
}
