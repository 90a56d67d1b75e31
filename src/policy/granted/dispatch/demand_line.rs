use {
    crate::fleet::AccountId,
    serde::{Deserialize, Serialize},
};

/// What a router says waits for a sidecar, for one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandLine {
    pub account: AccountId,
    pub count: u32,       // requests, 0 when none wait any more
    pub patience_ms: u32, // left of the most urgent one
    pub waited_ms: u32,   // by the oldest one
}
