/// What happens in a run, while callers send harmless requests and, if not stated otherwise, a
/// request that crashes each replica that runs it.
///
/// The variants are printed by name in the result line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashScenario {
    /// Crashed replicas restart under new ids.
    NewIds,
    /// Crashed replicas restart under the same ids, after one second.
    SameIds,
    /// Replicas restart under new ids, and routers are killed one after the other.
    RoutersKilled,
    /// All harmless requests have the same body.
    OneRequest,
    /// No request crashes a replica; replicas close a fifth of their connections and keep running.
    CutOff,
}

impl CrashScenario {
    /// All scenarios.
    pub const ALL: [Self; 5] = [
        Self::NewIds,
        Self::SameIds,
        Self::RoutersKilled,
        Self::OneRequest,
        Self::CutOff,
    ];
}
