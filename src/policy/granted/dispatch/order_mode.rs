/// In which order a sidecar grants its capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderMode {
    Fair,    // least served per share first
    Arrival, // longest waiting first: a baseline
}
