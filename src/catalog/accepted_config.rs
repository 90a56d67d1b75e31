use {crate::routing::RoutingTable, std::sync::Arc, tokio::time::Instant};

/// A configuration in force, with the text it was read from, so that peers can
/// be given it as it was published.
#[derive(Debug, Clone)]
pub struct AcceptedConfig {
    pub text: Arc<str>,
    pub table: Arc<RoutingTable>,
    pub from: Arc<str>,    // who told it: the store, or a router's address
    pub accepted: Instant, // when
}
