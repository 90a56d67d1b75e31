use {
    super::UpstreamRecord,
    serde::{Deserialize, Serialize},
};

/// What an upstream's entry said in an earlier era of the store, and which stands against the
/// entry that the store has from a copy until that is written again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierWord {
    pub record: UpstreamRecord, // with the revision of the entry that it stands against
    pub remaining_ms: Option<u32>, // for how long it stands; none if until the entry changes
}

/// A cordon of an earlier era that the store's copy lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierCordon {
    pub zone: String,
    pub remaining_ms: u32, // for how long the zone stays cordoned, unless the store says otherwise
}
