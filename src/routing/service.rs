use {super::EngineFacts, std::sync::Arc};

/// A group of replicas that serve the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    pub name: Arc<str>,
    pub max_connections: usize, // to one replica, from all callers together
    pub engine: Option<EngineFacts>, // of model services
}
