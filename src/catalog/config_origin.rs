use std::{sync::Arc, time::Duration};

/// Where the configuration in force came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigOrigin {
    pub version: u64,
    pub from: Arc<str>, // the store, or a router's address
    pub age: Duration,  // since it was accepted here
}
