use std::{sync::Arc, time::Duration};

/// Version, source and age of the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigOrigin {
    pub version: u64,
    pub from: Arc<str>, // "store", or a router's address
    pub age: Duration,  // since this process accepted it
}
