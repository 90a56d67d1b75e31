use {
    super::{
        CacheEventsMessage, ErasMessage, EvidenceMessage, LeavingMessage, RouterContact,
        RouterReport, StreamAnswerMessage, StreamOriginsMessage, StreamQueryMessage,
        SuspectTrialsMessage, SuspectsMessage, ZoneSummary,
    },
    serde::{Deserialize, Serialize},
};

/// One datagram between routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// State of one router, to the routers of its own zone.
    Report(RouterReport),
    /// State of a zone, to the representative of another zone, which relays it in its zone.
    Summary(ZoneSummary),
    /// Discovery request: the sender names itself and asks for other routers.
    Ask(RouterContact),
    /// Answer to a discovery request: the live routers of the asker's zone, and some of each
    /// other zone.
    Names(Vec<RouterContact>),
    /// Requests that may have crashed replicas, to the own zone and to others.
    Suspects(SuspectsMessage),
    /// Replicas that announced their shutdown, to the own zone.
    Leaving(LeavingMessage),
    /// Observed performance of replicas, to the own zone.
    Evidence(EvidenceMessage),
    /// Prompt-cache events of replicas, to the own zone; evictions of shared parts, to others.
    CacheEvents(CacheEventsMessage),
    /// That the sender compares the store's eras, to the own zone; what it carried over from an
    /// earlier era, also to others.
    Eras(ErasMessage),
    /// Software versions at which streams began, to the routers that keep them.
    StreamOrigins(StreamOriginsMessage),
    /// Query for the version at which a stream began.
    StreamQuery(StreamQueryMessage),
    /// Answer to such a query.
    StreamAnswer(StreamAnswerMessage),
    /// Parts of prompts that may have crashed replicas, to the own zone and to others.
    SuspectParts(SuspectsMessage),
    /// Trials of requests or parts that were held back, to the own zone and to others.
    SuspectTrials(SuspectTrialsMessage),
}

impl PeerMessage {
    /// Its label in metrics and logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Report(_) => "report",
            Self::Summary(_) => "sum",
            Self::Ask(_) => "ask",
            Self::Names(_) => "names",
            Self::Suspects(_) => "suspects",
            Self::Leaving(_) => "leaving",
            Self::Evidence(_) => "evidence",
            Self::CacheEvents(_) => "kept",
            Self::Eras(_) => "eras",
            Self::StreamOrigins(_) => "stream_origins",
            Self::StreamQuery(_) => "stream_query",
            Self::StreamAnswer(_) => "stream_answer",
            Self::SuspectParts(_) => "suspect_parts",
            Self::SuspectTrials(_) => "suspect_trials",
        }
    }
}
