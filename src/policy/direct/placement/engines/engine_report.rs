use {
    super::EngineTimes,
    serde::{Deserialize, Serialize},
};

/// What a router has learnt of the engines of one service, for its peers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    pub service: u32, // short name
    pub times: EngineTimes,
    pub samples: u64, // first tokens that it was learnt from
}
