use {
    crate::fleet::AccountId,
    serde::{Deserialize, Serialize},
};

/// A router's announcement of the requests of one account that wait for a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandLine {
    pub account: AccountId,
    pub count: u32,       // waiting requests; 0 if none wait any more
    pub patience_ms: u32, // time to the deadline of the most urgent one
    pub waited_ms: u32,   // time that the oldest one has waited
}
