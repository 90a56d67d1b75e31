use std::{collections::HashSet, net::SocketAddr, time::Duration};

/// The network faults that a proxy injects.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    pub blocked: bool, // closes new TCP connections at once, drops all UDP packets
    pub blocked_sources: HashSet<SocketAddr>, // clients whose packets are dropped (UDP)
    pub delay: Duration, // in each direction
    pub drop: f64,     // probability that a packet is lost (UDP)
    pub duplicate: f64, // probability that a packet is sent twice (UDP)
    pub reorder: f64,  // probability that a packet is delayed by a further 10 ms (UDP)
}
