use {
    crate::{codes::Fault, policy::placement::KeptPart},
    bytes::Bytes,
    http_body_util::Full,
    hyper::Request,
};

/// How a replica is asked which parts of prompts it keeps.
#[derive(Debug, Clone, Copy)]
pub struct CacheCalls {
    /// The question for all of them, but for its host.
    pub list: fn() -> Request<Full<Bytes>>,
    /// Reads the answer: code 82.
    pub read_list: fn(&[u8]) -> Result<Vec<KeptPart>, Fault>,
}
