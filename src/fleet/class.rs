use std::time::Duration;

/// A class of requests that may wait for the same time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Class {
    pub name: String,
    pub patience: Duration, // longest time from arrival to the answer's start
}
