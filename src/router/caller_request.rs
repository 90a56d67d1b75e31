use {
    crate::{
        fleet::{AccountId, Labels},
        policy::{HostSet, PrefixHash},
    },
    bytes::Bytes,
    std::time::Duration,
};

/// A caller's request, checked and placed.
pub struct CallerRequest {
    pub request_id: String,
    pub account: AccountId,
    pub class: String,
    pub patience: Duration,
    pub group: String,
    pub model: Option<String>,
    pub labels: Labels, // as the caller sent them
    pub method: String,
    pub path: String, // with the query
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Bytes,
    pub hosts: HostSet, // that may serve it, sorted
    pub repeatable: bool,
    pub once_key: Option<String>, // idempotency key, if it may not run twice
    pub prefix: Option<PrefixHash>,
}
