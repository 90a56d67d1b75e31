use {
    super::EngineLatency,
    serde::{Deserialize, Serialize},
};

/// A router's latency model of one service's engines, as sent to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LatencyReport {
    pub service_hash: u32, // name hash
    pub times: EngineLatency,
    pub samples: u64, // number of first tokens that the model was fitted to
}
