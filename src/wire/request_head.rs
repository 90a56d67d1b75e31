use {
    crate::{
        fleet::AccountId,
        policy::{GrantNumber, Incarnation},
    },
    serde::{Deserialize, Serialize},
};

/// A request on its way to a sidecar; its body follows in the same stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestHead {
    pub request_id: String,
    pub account: AccountId,
    pub class: String,
    pub group: String,
    pub model: Option<String>,
    pub labels: Vec<(String, String)>, // as the caller sent them
    pub method: String,
    pub path: String, // with the query
    pub headers: Vec<(String, Vec<u8>)>,
    pub incarnation: Incarnation,   // of the sidecar that is meant
    pub grant: Option<GrantNumber>, // none for an offer to an idle upstream
    pub once_key: Option<String>,   // idempotency key, if it may not run twice
    pub patience_ms: u32,           // left when it was sent
    pub body_len: u64,              // bytes that follow
}
