use {
    super::EngineFacts,
    std::{sync::Arc, time::Duration},
};

/// A group of replicas that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    pub name: Arc<str>,
    pub max_connections: usize, // to one replica, from all callers together
    pub engine: Option<EngineFacts>, // of model services
    pub slow_per_s: f64, // requests that a replica bears that has just started; 0 is no bound
    pub slow_start: Duration, // how long it is slow then
}
