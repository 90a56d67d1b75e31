use {
    crate::{
        fleet::{AccountId, Labels},
        policy::{HostSet, PrefixHash},
    },
    bytes::Bytes,
    std::time::Duration,
};

/// A caller's request, validated, with the hosts that may serve it.
pub struct CallerRequest {
    pub request_id: String,
    pub account: AccountId,
    pub class: String,
    pub patience: Duration,
    pub group: String,
    pub model: Option<String>,
    pub labels: Labels, // as the caller sent them
    pub method: String,
    pub path: String, // including the query
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Bytes,
    pub hosts: HostSet, // hosts that may serve it, sorted
    pub repeatable: bool,
    pub idempotency_key: Option<String>, // set if the request must not run twice
    pub prefix: Option<PrefixHash>,
}
