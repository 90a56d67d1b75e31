use {
    crate::{codes::ResultCode, fleet::Revision},
    serde::{Deserialize, Serialize},
};

/// A change of the configuration, membership or state of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    pub unix_ms: u64,
    pub host: String,               // of the process that recorded it
    pub what: String,               // kind of change: config_accepted, peer_restarted, …
    pub revision: Option<Revision>, // of the configuration it is about
    pub code: Option<u8>,           // result code, if something was refused
    pub detail: String,
}

impl AuditEntry {
    /// The result code; `None` if there is none or this build does not know it.
    pub fn result_code(&self) -> Option<ResultCode> {
        self.code.and_then(ResultCode::from_number)
    }
}
