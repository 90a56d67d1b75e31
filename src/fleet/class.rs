use std::time::Duration;

/// A class of patience.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Class {
    pub name: String,
    pub patience: Duration, // from arrival to the answer's start
}
