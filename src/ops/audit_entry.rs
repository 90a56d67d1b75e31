use {
    crate::{codes::ResultCode, fleet::Revision},
    serde::{Deserialize, Serialize},
};

/// One change of configuration, membership or state, as a process saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    pub unix_ms: u64,
    pub host: String,               // whose trail this is
    pub what: String,               // config_accepted, peer_restarted, …
    pub revision: Option<Revision>, // that it is about
    pub code: Option<u8>,           // why something was refused
    pub detail: String,
}

impl AuditEntry {
    /// The result code, if there is one.
    pub fn result_code(&self) -> Option<ResultCode> {
        self.code.and_then(ResultCode::from_number)
    }
}
