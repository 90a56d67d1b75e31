/// Why a relayed connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseCause {
    CallerClosed,
    NeighbourClosed,
    /// The neighbour's connection was reset, or nothing is acknowledged on it.
    NeighbourFailed,
    /// Nothing shows that the neighbour's process runs.
    NeighbourSilent,
    /// The neighbour sent bytes that answer no request.
    UnaskedBytes,
    /// The connection is idle, and this router stops.
    Stopping,
}

impl CloseCause {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::CallerClosed => "caller closed",
            Self::NeighbourClosed => "neighbour closed",
            Self::NeighbourFailed => "neighbour failed",
            Self::NeighbourSilent => "neighbour silent",
            Self::UnaskedBytes => "unasked bytes",
            Self::Stopping => "stopping",
        }
    }
}
