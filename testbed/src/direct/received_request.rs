use std::{collections::HashMap, time::Instant};

/// A request as a replica received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    pub method: String,
    pub target: String,                   // path and query
    pub headers: HashMap<String, String>, // names in lower case
    pub body: Vec<u8>,
    pub arrived: Instant, // when it was received completely
    pub was_run: bool,    // false if it was refused
}

impl ReceivedRequest {
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

    /// The attempt id that the client set.
    pub fn attempt_id(&self) -> &str {
        self.header("archmast-attempt-id")
    }
}
