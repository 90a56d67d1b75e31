use std::net::SocketAddr;

/// A router of the own zone that may take callers over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Neighbour {
    pub callers: SocketAddr, // where it takes callers
    pub spare: f64,          // part of a core that it has to spare
}

/// A neighbour with less to spare than this part of a core gets nobody's callers: a
/// ninth of the smallest hosts in use, which serve some 80 requests a second.
const LEAST_SPARE: f64 = 0.01;

/// The neighbour that takes a connection over: drawn, by what each has to spare, so
/// that routers with the same reports do not all choose the same one. `draw` is from
/// 0 to 1.
pub fn neighbour_for(
    neighbours: &[Neighbour],
    draw: f64,
) -> Option<SocketAddr> {
    let able = || neighbours.iter().filter(|other| other.spare >= LEAST_SPARE);
    let all: f64 = able().map(|other| other.spare).sum();
    let mut left = draw * all;
    for other in able() {
        left -= other.spare;
        if left <= 0.0 {
            return Some(other.callers);
        }
    }
    able().next_back().map(|other| other.callers)
}
