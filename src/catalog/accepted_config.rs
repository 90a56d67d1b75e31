use {crate::routing::RoutingTable, std::sync::Arc, tokio::time::Instant};

/// The configuration in force, with the text it was parsed from, which is passed on to peers
/// unchanged.
#[derive(Debug, Clone)]
pub struct AcceptedConfig {
    pub text: Arc<str>,
    pub table: Arc<RoutingTable>,
    pub from: Arc<str>, // its source: "store", or a router's address
    pub accepted: Instant,
}
