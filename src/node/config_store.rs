use {
    crate::{
        codes::ResultCode,
        fleet::{Revision, VersionedConfig, sha256_hex},
        ops::{AuditTrail, REVISION},
        policy::{ConfigGate, Verdict},
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
    tokio::sync::watch,
};

/// Holds the configuration in force. It is never replaced by an older revision, and an invalid
/// configuration is rejected as a whole.
pub struct ConfigStore {
    gate: Mutex<ConfigGate>, // a leaf lock: no other lock is taken under it
    current: watch::Sender<Option<Arc<VersionedConfig>>>,
    audit: Arc<AuditTrail>,
}

impl ConfigStore {
    /// Creates a store without a configuration.
    pub fn new(audit: Arc<AuditTrail>) -> Self {
        Self {
            gate: Mutex::default(),
            current: watch::Sender::new(None),
            audit,
        }
    }

    /// The configuration in force; `None` before the first.
    pub fn current(&self) -> Option<Arc<VersionedConfig>> {
        self.current.borrow().clone()
    }

    /// A receiver of each configuration that comes into force. The one already in force counts
    /// as its first change.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<VersionedConfig>>> {
        let mut receiver = self.current.subscribe();
        receiver.mark_changed();
        receiver
    }

    /// Whether a revision that the platform or a peer has should be fetched, and why not.
    pub fn judge(
        &self,
        revision: Revision,
        digest: &str,
    ) -> Verdict {
        let gate = self.gate.lock().expect("gate lock");
        gate.judge(revision, digest)
    }

    /// The parts of the configuration in force, by digest.
    pub fn held_parts(&self) -> BTreeMap<String, Arc<str>> {
        self.current()
            .map_or_else(BTreeMap::new, |config| config.parts.clone())
    }

    /// Validates a configuration and brings it into force, or rejects it as a whole. `source` is
    /// where it came from: a peer's host, or `platform`. Returns whether it came into force.
    pub async fn offer(
        &self,
        revision: Revision,
        root: Arc<str>,
        parts: BTreeMap<String, Arc<str>>,
        source: &str,
    ) -> bool {
        let digest = sha256_hex(root.as_bytes());
        match self.judge(revision, &digest) {
            Verdict::Fetch => {}
            verdict => {
                self.audit_refusal(revision, verdict, source);
                return false;
            }
        }
        let build = move || VersionedConfig::build(revision, root, parts);
        match tokio::task::spawn_blocking(build).await {
            Ok(Ok(config)) => self.bring_into_force(config, source),
            Ok(Err(error)) => {
                self.gate
                    .lock()
                    .expect("gate lock")
                    .reject(revision, &digest);
                let detail = format!("from {source}: {error}");
                self.audit
                    .record("config_refused", Some(revision), Some(error.code), detail);
                false
            }
            Err(error) => {
                log::error!("validation of revision {revision} did not finish: {error}");
                false
            }
        }
    }

    fn bring_into_force(
        &self,
        config: VersionedConfig,
        source: &str,
    ) -> bool {
        let (revision, config) = (config.revision, Arc::new(config));
        let accepted = self.current.send_if_modified(|current| {
            let mut gate = self.gate.lock().expect("gate lock");
            let accepted = gate.accept(revision, &config.digest);
            if accepted {
                *current = Some(config);
            }
            accepted
        });
        if accepted {
            metrics::gauge!(REVISION).set(revision.0 as f64);
            let detail = format!("from {source}");
            self.audit
                .record("config_accepted", Some(revision), None, detail);
        }
        accepted
    }

    fn audit_refusal(
        &self,
        revision: Revision,
        verdict: Verdict,
        source: &str,
    ) {
        match verdict {
            Verdict::Older => self.audit.record(
                "config_older_ignored",
                Some(revision),
                Some(ResultCode::OlderRevision),
                format!("from {source}"),
            ),
            Verdict::Conflict => self.audit.record(
                "config_conflict_ignored",
                Some(revision),
                Some(ResultCode::OlderRevision),
                format!("from {source}: other bytes under the number in force"),
            ),
            Verdict::Fetch | Verdict::InForce | Verdict::Rejected => {}
        }
    }
}
