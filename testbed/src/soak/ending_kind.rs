/// What happens in a run beside the harmless requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndingKind {
    /// Replicas come back under new ids.
    NewIds,
    /// They come back after a second under the ids that they had.
    SameIds,
    /// Routers are killed one after the other.
    RoutersKilled,
    /// All harmless requests are one and the same.
    OneRequest,
    /// No such request; replicas break off a fifth of their connections and live on.
    CutOff,
}

impl EndingKind {
    /// All of them.
    pub const ALL: [Self; 5] = [
        Self::NewIds,
        Self::SameIds,
        Self::RoutersKilled,
        Self::OneRequest,
        Self::CutOff,
    ];
}
