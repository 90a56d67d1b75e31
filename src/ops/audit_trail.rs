use {
    super::{AuditEntry, Uptime},
    crate::{codes::ResultCode, fleet::Revision},
    std::{collections::VecDeque, sync::Mutex},
};

/// The latest changes of a process, up to a number of entries. Each is logged too.
pub struct AuditTrail {
    host: String,
    bound: usize,
    entries: Mutex<VecDeque<AuditEntry>>, // a leaf lock: no other lock is taken under it
}

impl AuditTrail {
    /// Creates a trail of at most `bound` entries.
    pub fn new(
        host: &str,
        bound: usize,
    ) -> Self {
        Self {
            host: host.to_owned(),
            bound,
            entries: Mutex::default(),
        }
    }

    /// Records and logs a change; drops the oldest one if the trail is full.
    pub fn record(
        &self,
        what: &str,
        revision: Option<Revision>,
        code: Option<ResultCode>,
        detail: impl Into<String>,
    ) {
        let entry = AuditEntry {
            unix_ms: Uptime::unix_millis(),
            host: self.host.clone(),
            what: what.to_owned(),
            revision,
            code: code.map(ResultCode::number),
            detail: detail.into(),
        };
        log::info!(
            target: "audit",
            what = entry.what.as_str(),
            revision = entry.revision.map_or(0, |r| r.0),
            code = entry.code.unwrap_or(0);
            "{}", entry.detail
        );
        let mut entries = self.entries.lock().expect("audit lock");
        if entries.len() == self.bound {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// The entries, oldest first.
    pub fn entries(&self) -> Vec<AuditEntry> {
        let entries = self.entries.lock().expect("audit lock");
        entries.iter().cloned().collect()
    }
}
