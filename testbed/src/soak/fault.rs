use {super::config_change::ConfigChange, crate::direct::StoreMode};

/// A fault injected into the fleet, or a planned action on it.
///
/// The variants are printed by name in the list of faults of a run. Numbers are indexes of
/// routers, replica slots or zones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A router is killed and started again.
    KillRouter(usize),
    /// All routers are killed at the same time.
    KillAllRouters,
    /// `count` routers from `first` on are killed at the same time.
    KillRouters { first: usize, count: usize },
    /// A router is stopped as planned and started again.
    StopRouter(usize),
    /// A router process is suspended and resumed.
    FreezeRouter(usize),
    /// A router gets the signal that its settings changed.
    HangUpRouter(usize),
    /// The store answers one router in this mode.
    StoreTrouble(usize, StoreMode),
    /// The store answers all routers in this mode.
    StoreDown(StoreMode),
    /// The store discards its history of changes.
    ForgetHistory,
    /// The store is away and returns from a copy of this age. What it lost is written again
    /// afterwards, or already before it answers, in which case it has outgrown what routers know.
    StoreFromCopy { age_ms: u64, is_outgrown: bool },
    /// The operator publishes a configuration with one more route.
    Publish,
    /// A replica is listed as draining, keeps serving, and is replaced.
    DrainReplica(usize),
    /// The entry of a replica is removed without notice; it keeps serving, and is replaced.
    UnlistReplica(usize),
    /// A replica becomes unreachable without notice, and is replaced.
    CrashReplica(usize),
    /// A replica runs its next requests, but sends no answer, or one that is cut, invalid,
    /// unsigned or for another request.
    SpoilAnswers(usize),
    /// Traffic to and from a replica is delayed.
    SlowLink(usize),
    /// Traffic to and from a replica is blocked.
    CutLink(usize),
    /// All connections to a replica are reset.
    ResetLink(usize),
    /// The open connections of a router to the store carry nothing more, without a reset.
    SilenceStore(usize),
    /// The same for the connections of all routers to the store.
    SilenceAllStores,
    /// The open connections to a replica carry nothing more, without a reset.
    SilenceReplica(usize),
    /// The open connections of a router's callers carry nothing more, without a reset.
    SilenceCallers(usize),
    /// The operator cordons a zone and uncordons it.
    EmptyZone(usize),
    /// The replicas of a zone are unreachable, and return under their ids with a slow start.
    SlowReturn(usize),
    /// A replica announces in its answers that it leaves, and is replaced after a while.
    SayLeaving(usize),
    /// A replica refuses all requests and asks for a backoff.
    AskForRest(usize),
    /// All replicas refuse all requests and ask for a backoff.
    AllAskForRest,
    /// A replica of another software version starts beside one that is listed as draining, keeps
    /// serving, and leaves.
    ChangeVersion { replica: usize, version: u32 },
    /// The open connections of a router's callers are closed.
    ResetCallers(usize),
    /// A replica writes nothing for a second or two, and then goes on where it stopped.
    PauseReplica(usize),
    /// The same for `count` replicas from `first` on, at once.
    PauseReplicas { first: usize, count: usize },
    /// The operator publishes a configuration with one more route and another change.
    ChangeConfig(ConfigChange),
    /// Routers are stopped in turn and started with the other build, then back.
    ReplaceBuilds,
    /// A router runs the other build, from the stop before to the start after it.
    OtherBuild(usize),
}

impl Fault {
    /// Whether this is planned work, during which no request may be lost.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::StopRouter(_)
                | Self::HangUpRouter(_)
                | Self::Publish
                | Self::ChangeConfig(_)
                | Self::DrainReplica(_)
                | Self::UnlistReplica(_)
                | Self::SayLeaving(_)
                | Self::EmptyZone(_)
                | Self::ChangeVersion { .. }
                | Self::ReplaceBuilds
                | Self::OtherBuild(_)
        )
    }

    /// Whether a replica that is sound only pauses, during which no request may be lost either.
    pub fn is_pause(&self) -> bool {
        matches!(self, Self::PauseReplica(_) | Self::PauseReplicas { .. })
    }

    /// Whether the fault ends, suspends or replaces the process of `router`.
    pub fn interrupts(
        &self,
        router: usize,
    ) -> bool {
        match self {
            Self::KillRouter(target)
            | Self::StopRouter(target)
            | Self::FreezeRouter(target)
            | Self::OtherBuild(target) => *target == router,
            Self::KillRouters { first, count } => (*first..first + count).contains(&router),
            Self::KillAllRouters => true,
            _ => false,
        }
    }

    /// Whether the fault may delay changes in the store on their way to `router`. A fault of
    /// other routers must not.
    pub fn hides_the_store_from(
        &self,
        router: usize,
    ) -> bool {
        self.interrupts(router)
            || match self {
                Self::StoreTrouble(target, _) | Self::SilenceStore(target) => *target == router,
                Self::StoreDown(_) | Self::SilenceAllStores | Self::StoreFromCopy { .. } => true,
                _ => false,
            }
    }

    /// Whether the fault breaks the open connections of the callers of `router`.
    pub fn breaks_callers_of(
        &self,
        router: usize,
    ) -> bool {
        match self {
            Self::SilenceCallers(target) | Self::ResetCallers(target) => *target == router,
            _ => false,
        }
    }

    /// Whether the fault may keep the replica in this slot from serving.
    pub fn disturbs_replica(
        &self,
        slot: usize,
    ) -> bool {
        match self {
            Self::DrainReplica(target)
            | Self::UnlistReplica(target)
            | Self::CrashReplica(target)
            | Self::SpoilAnswers(target)
            | Self::SlowLink(target)
            | Self::CutLink(target)
            | Self::ResetLink(target)
            | Self::SilenceReplica(target)
            | Self::SayLeaving(target)
            | Self::AskForRest(target) => *target == slot,
            Self::AllAskForRest | Self::SlowReturn(_) | Self::EmptyZone(_) => true,
            _ => false,
        }
    }
}
