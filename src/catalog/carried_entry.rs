use {
    super::UpstreamRecord,
    serde::{Deserialize, Serialize},
};

/// The entry of an upstream from an earlier era of the store, which takes precedence over the one
/// that the store has from a copy until that is written again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarriedEntry {
    pub record: UpstreamRecord, // with the revision of the entry that it replaces
    pub remaining_ms: Option<u32>, // of its validity; none if valid until the entry changes
}

/// A cordon of an earlier era that the store's copy lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CarriedCordon {
    pub zone: String,
    pub remaining_ms: u32, // for which the zone stays cordoned unless the store has a newer change
}
