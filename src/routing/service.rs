use {
    super::EngineSpec,
    std::{sync::Arc, time::Duration},
};

/// A group of replicas that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    pub name: Arc<str>,
    pub max_connections: usize, // to one replica, shared by all callers
    pub engine: Option<EngineSpec>, // for model services
    pub health_path: Option<String>, // of the replicas' health checks
    pub slow_start_per_s: f64, // requests per second that a replica takes in slow start; 0: no limit
    pub slow_start_duration: Duration, // how long a replica is slow after its start
}
