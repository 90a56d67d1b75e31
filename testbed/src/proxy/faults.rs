use std::{collections::HashSet, net::SocketAddr, time::Duration};

/// What a proxy does to what passes.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    pub cut: bool,                        // lets nothing through
    pub cut_sources: HashSet<SocketAddr>, // lets nothing of these clients through
    pub delay: Duration,                  // one way
    pub drop: f64,                        // share of packets lost (UDP)
    pub duplicate: f64,                   // share of packets sent twice (UDP)
    pub reorder: f64,                     // share of packets held back 10 ms more (UDP)
}
