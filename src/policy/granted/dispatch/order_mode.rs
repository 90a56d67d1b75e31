/// The order in which a sidecar grants its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderMode {
    Fair,    // least service per share first
    Arrival, // longest waiting first: a baseline for comparison
}
