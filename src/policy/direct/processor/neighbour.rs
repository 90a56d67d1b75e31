use std::net::SocketAddr;

/// A router of this zone that may take over connections of callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Neighbour {
    pub caller_address: SocketAddr, // where it accepts callers
    pub spare_cores: f64,           // unused CPU capacity, in cores
}

/// A neighbour with less spare CPU than this, in cores, takes over no connections: a ninth of the
/// smallest hosts in use, which serve some 80 requests a second.
const MIN_SPARE_CORES: f64 = 0.01;

/// Chooses the neighbour that takes over a connection, at random weighted by spare cores, so that
/// routers with the same reports do not all choose the same one. `draw` is a random number from 0
/// to 1. Returns where the neighbour accepts callers, or `None` if none has enough to spare.
pub fn choose_neighbour(
    neighbours: &[Neighbour],
    draw: f64,
) -> Option<SocketAddr> {
    let eligible = || {
        neighbours
            .iter()
            .filter(|it| it.spare_cores >= MIN_SPARE_CORES)
    };
    let total: f64 = eligible().map(|other| other.spare_cores).sum();
    let mut remaining = draw * total;
    for other in eligible() {
        remaining -= other.spare_cores;
        if remaining <= 0.0 {
            return Some(other.caller_address);
        }
    }
    eligible().next_back().map(|other| other.caller_address)
}
