use crate::direct::StoreMode;

/// Something that happens to the fleet from outside.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A router's process ends at once, and starts again.
    KillRouter(usize),
    /// All of them at the same moment.
    KillAllRouters,
    /// So many of them at the same moment, from the first on.
    KillRouters { first: usize, count: usize },
    /// A planned stop, and a new start.
    StopRouter(usize),
    /// A router is paused and wakes.
    FreezeRouter(usize),
    /// A router is told that its settings changed.
    HangUpRouter(usize),
    /// The store answers one router like this.
    StoreTrouble(usize, StoreMode),
    /// The store answers everyone like this.
    StoreDown(StoreMode),
    /// The store forgets its history.
    ForgetHistory,
    /// The operator publishes a configuration with one more route.
    Publish,
    /// A replica says that it leaves, serves on, and is replaced.
    DrainReplica(usize),
    /// A replica's entry goes without a word before; it serves on, and is replaced.
    UnlistReplica(usize),
    /// A replica is gone without a word, and another takes its place.
    CrashReplica(usize),
    /// A replica runs its next requests, and loses or spoils their answers.
    SpoilAnswers(usize),
    /// What passes to and from a replica takes longer.
    SlowLink(usize),
    /// Nothing passes to and from a replica.
    CutLink(usize),
    /// All connections to a replica are reset.
    ResetLink(usize),
    /// The open connections of a router to the store fall silent for good.
    SilenceStore(usize),
    /// Those of all routers.
    SilenceAllStores,
    /// The open connections to a replica fall silent for good.
    SilenceReplica(usize),
    /// The open connections of a router's callers fall silent for good.
    SilenceCallers(usize),
    /// The operator empties a zone, and takes it back.
    EmptyZone(usize),
    /// The replicas of a zone are away, and come back slowly under their ids.
    SlowReturn(usize),
    /// A replica says in its answers that it leaves, and is replaced after a while.
    SayLeaving(usize),
    /// A replica turns all requests away, and asks for rest.
    AskForRest(usize),
    /// All replicas do.
    AllAskForRest,
    /// Routers are stopped one after the other and start again as the other build, then
    /// back.
    ReplaceBuilds,
    /// A router runs as the other build, from the stop before to the start after it.
    OtherBuild(usize),
}

impl Fault {
    /// Whether it is planned work, which may cost no request.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::StopRouter(_)
                | Self::HangUpRouter(_)
                | Self::Publish
                | Self::DrainReplica(_)
                | Self::UnlistReplica(_)
                | Self::SayLeaving(_)
                | Self::EmptyZone(_)
                | Self::ReplaceBuilds
                | Self::OtherBuild(_)
        )
    }

    /// Whether this router's process ends or stands still meanwhile.
    pub fn interrupts(
        &self,
        router: usize,
    ) -> bool {
        match self {
            Self::KillRouter(hit)
            | Self::StopRouter(hit)
            | Self::FreezeRouter(hit)
            | Self::OtherBuild(hit) => *hit == router,
            Self::KillRouters { first, count } => (*first..first + count).contains(&router),
            Self::KillAllRouters => true,
            _ => false,
        }
    }

    /// Whether this router may learn late what the store says, since the fault is its
    /// own. What befalls others only must not keep it from the news.
    pub fn hides_the_store_from(
        &self,
        router: usize,
    ) -> bool {
        self.interrupts(router)
            || match self {
                Self::StoreTrouble(hit, _) | Self::SilenceStore(hit) => *hit == router,
                Self::StoreDown(_) | Self::SilenceAllStores => true,
                _ => false,
            }
    }
}
