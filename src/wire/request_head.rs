use {
    crate::{
        fleet::AccountId,
        policy::{GrantNumber, Incarnation},
    },
    serde::{Deserialize, Serialize},
};

/// A request that a router sends to a sidecar, without its body, which follows in the same
/// stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestHead {
    pub request_id: String,
    pub account: AccountId,
    pub class: String,
    pub group: String,
    pub model: Option<String>,
    pub labels: Vec<(String, String)>, // as the caller sent them
    pub method: String,
    pub path: String, // including the query
    pub headers: Vec<(String, Vec<u8>)>,
    pub incarnation: Incarnation,        // of the addressed sidecar
    pub grant: Option<GrantNumber>,      // `None` if sent without a grant, to a free slot
    pub idempotency_key: Option<String>, // set if the request must not run twice
    pub patience_ms: u32,                // time left in which the request should start
    pub body_len: u64,                   // bytes in the body
}
