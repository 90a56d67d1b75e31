use {
    super::{
        EvidenceTold, KeptTold, LeavingTold, NamedRouter, RouterReport, SuspectsTold, ZoneSum,
    },
    serde::{Deserialize, Serialize},
};

/// One datagram between routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// To the routers of the own zone.
    Report(RouterReport),
    /// To another zone, and there from the router that got it to its fellows.
    Sum(ZoneSum),
    /// A router names itself, and asks for the others of its zone.
    Ask(NamedRouter),
    /// Routers that were heard of lately: those of the asker's zone, and some of
    /// each other zone.
    Names(Vec<NamedRouter>),
    /// Requests under which replicas ended, to the own zone and others.
    Suspects(SuspectsTold),
    /// Replicas that said that they leave, to the routers of the own zone.
    Leaving(LeavingTold),
    /// What was seen of how replicas work, to the routers of the own zone.
    Evidence(EvidenceTold),
    /// What replicas say that they keep, to the own zone; shared parts given up, to others.
    Kept(KeptTold),
}

impl PeerMessage {
    /// Its kind, for metrics and logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Report(_) => "report",
            Self::Sum(_) => "sum",
            Self::Ask(_) => "ask",
            Self::Names(_) => "names",
            Self::Suspects(_) => "suspects",
            Self::Leaving(_) => "leaving",
            Self::Evidence(_) => "evidence",
            Self::Kept(_) => "kept",
        }
    }
}
