/// What happens in a run, while callers send harmless requests and, if not stated otherwise, a
/// request that crashes each replica that runs it, or requests of which no two are equal and one
/// part of whose prompts does that.
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
    /// The part stands between two that harmless requests share.
    PartBetween,
    /// The part is the first.
    PartFirst,
    /// Such a request each two seconds, whose other parts no harmless request has.
    PartRare,
    /// The same as `PartBetween`, and routers are killed one after the other.
    PartRoutersKilled,
    /// The part comes with another one, which harmless requests have as well later on.
    PartWithCompanion,
    /// The part is harmless in the first third of the run, and also harmless requests have it then.
    PartTurnsFatal,
    /// There is no such part; replicas crash by themselves.
    CrashesAlone,
    /// There is no such part; replicas close a fifth of their connections and keep running.
    PartCutOff,
}

impl CrashScenario {
    /// All scenarios.
    pub const ALL: [Self; 13] = [
        Self::NewIds,
        Self::SameIds,
        Self::RoutersKilled,
        Self::OneRequest,
        Self::CutOff,
        Self::PartBetween,
        Self::PartFirst,
        Self::PartRare,
        Self::PartRoutersKilled,
        Self::PartWithCompanion,
        Self::PartTurnsFatal,
        Self::CrashesAlone,
        Self::PartCutOff,
    ];

    /// Whether requests have prompts and are answered with streams.
    pub fn has_prompts(self) -> bool {
        !matches!(
            self,
            Self::NewIds | Self::SameIds | Self::RoutersKilled | Self::OneRequest | Self::CutOff
        )
    }

    /// Whether anything that is sent crashes replicas.
    pub fn is_fatal(self) -> bool {
        !matches!(self, Self::CutOff | Self::CrashesAlone | Self::PartCutOff)
    }

    /// Whether replicas close some connections and keep running.
    pub fn closes_connections(self) -> bool {
        matches!(self, Self::CutOff | Self::PartCutOff)
    }

    /// Whether routers are killed.
    pub fn kills_routers(self) -> bool {
        matches!(self, Self::RoutersKilled | Self::PartRoutersKilled)
    }

    /// Crashes after which all routers have to hold the request or the part back.
    pub fn crashes_until_known(self) -> usize {
        if self.has_prompts() { 5 } else { 3 }
    }
}
