use std::{collections::HashMap, time::Instant};

/// A request as a replica got it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenRequest {
    pub method: String,
    pub target: String,                   // path and query
    pub headers: HashMap<String, String>, // names in lower case
    pub body: Vec<u8>,
    pub arrived: Instant, // whole
    pub ran: bool,        // it was not turned away
}

impl SeenRequest {
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

    /// The id of the client's attempt.
    pub fn id(&self) -> &str {
        self.header("archmast-attempt-id")
    }
}
