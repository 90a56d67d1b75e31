use {
    super::{ConfigStore, HostStore, Readiness, fetch_from_peer},
    crate::{
        conf::{OperatorSettings, ProcessSettings},
        fleet::{AccountId, HostRole, Revision},
        link::Peer,
        ops::{AuditTrail, ProcessStatus, Uptime},
        policy::{Incarnation, Membership, Moment, PeerObservation, Verdict},
        wire::{ControlMessage, Envelope},
    },
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// Hexadecimal digits of the configuration's digest in each message.
const DIGEST_DIGITS: usize = 8;

/// State that routers and sidecars share: identity, configuration, host list and membership.
///
/// Lock order, here and in routers and sidecars: `membership`, then the tables of the router or
/// sidecar, then leaf locks, under which no other lock is taken (audit, counters, peers, gate).
/// No lock is held across an await.
pub struct Node {
    pub host: String,
    pub zone: String,
    pub role: HostRole,
    pub incarnation: Incarnation,
    pub uptime: Uptime,
    pub audit: Arc<AuditTrail>,
    pub config: ConfigStore,
    pub hosts: HostStore,
    pub membership: Mutex<Membership>,
    pub readiness: Readiness,
    leaving: AtomicBool,
    fetching: AtomicBool, // a configuration is being fetched from a peer
}

impl Node {
    /// Creates a node without a configuration, host list or peers.
    pub fn new(
        role: HostRole,
        process: &ProcessSettings,
        operator: &OperatorSettings,
    ) -> Self {
        let audit = Arc::new(AuditTrail::new(&process.host, operator.audit_entries));
        Self {
            host: process.host.clone(),
            zone: process.zone.clone(),
            role,
            incarnation: Uptime::new_incarnation(),
            uptime: Uptime::start(),
            config: ConfigStore::new(audit.clone()),
            audit,
            hosts: HostStore::default(),
            membership: Mutex::default(),
            readiness: Readiness::default(),
            leaving: AtomicBool::new(false),
            fetching: AtomicBool::new(false),
        }
    }

    /// Time since the process started.
    pub fn now(&self) -> Moment {
        self.uptime.now()
    }

    /// Whether the process has begun to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Stops taking new work. Returns false if it had stopped before.
    pub fn begin_leaving(&self) -> bool {
        let first = !self.leaving.swap(true, Ordering::SeqCst);
        if first {
            self.audit
                .record("leaving", None, None, "takes no new work");
        }
        first
    }

    /// Takes new work again.
    pub fn end_leaving(&self) {
        if self.leaving.swap(false, Ordering::SeqCst) {
            self.audit
                .record("came_back", None, None, "takes new work again");
        }
    }

    /// The first message on each connection.
    pub fn hello(&self) -> ControlMessage {
        ControlMessage::Hello {
            role: self.role,
            incarnation: self.incarnation,
            leaving: self.is_leaving(),
            config_confirmed: self.readiness.is_confirmed(),
        }
    }

    /// Wraps a message with the revision and digest of the configuration in force.
    pub fn envelope(
        &self,
        message: ControlMessage,
    ) -> Envelope {
        let current = self.config.current();
        Envelope {
            revision: current.as_ref().map(|c| c.revision).unwrap_or_default(),
            digest: current.map_or_else(String::new, |c| c.digest[..DIGEST_DIGITS].to_owned()),
            message,
        }
    }

    /// Records the peer of a new connection in the membership.
    pub fn observe_peer(
        &self,
        peer: &Peer,
    ) -> PeerObservation {
        let observation = {
            let mut membership = self.membership.lock().expect("membership lock");
            let observation = membership.observe(&peer.host, peer.incarnation);
            if peer.leaving && observation != PeerObservation::Stale {
                membership.leave(&peer.host);
            }
            observation
        };
        let what = match observation {
            PeerObservation::New => "peer_new",
            PeerObservation::Restarted => "peer_restarted",
            PeerObservation::Stale => "peer_stale_refused",
            PeerObservation::Same => return observation,
        };
        let detail = format!("{} incarnation {}", peer.name, peer.incarnation);
        self.audit.record(what, None, None, detail);
        observation
    }

    /// Fetches the configuration and host list of a peer, in a task, if its configuration is newer
    /// or this process has no host list yet. Records the confirmation of a peer whose own
    /// configuration is confirmed, if that is not newer or has been fetched.
    pub fn fetch_if_newer(
        self: Arc<Self>,
        peer: &Arc<Peer>,
        revision: Revision,
        digest: &str,
    ) {
        let needs_hosts = self.hosts.revision() == Revision(0);
        let is_newer =
            revision > Revision(0) && self.config.judge(revision, digest) == Verdict::Fetch;
        if !is_newer && peer.config_confirmed {
            self.readiness.record_confirmation(&peer.host);
        }
        if !(is_newer || needs_hosts) || self.fetching.swap(true, Ordering::SeqCst) {
            return;
        }
        let peer = peer.clone();
        tokio::spawn(async move {
            if let Err(error) = fetch_from_peer(&self, &peer).await {
                log::debug!(code = error.code.number(); "nothing from {}: {error}", peer.host);
            } else if peer.config_confirmed {
                self.readiness.record_confirmation(&peer.host);
            }
            self.fetching.store(false, Ordering::SeqCst);
        });
    }

    /// Whether a peer's newest incarnation announced that it is leaving.
    pub fn is_peer_leaving(
        &self,
        host: &str,
    ) -> bool {
        let membership = self.membership.lock().expect("membership lock");
        membership.is_leaving(host)
    }

    /// Whether the process may take new work.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.readiness.is_confirmed() && self.config.current().is_some()
    }

    /// An account's name in the configuration in force, or its identifier if it is not there.
    pub fn account_name(
        &self,
        id: AccountId,
    ) -> String {
        let current = self.config.current();
        let account = current.as_ref().and_then(|c| c.config.account(id));
        account.map_or_else(|| id.to_string(), |account| account.name.clone())
    }

    /// The part of the status that routers and sidecars share; each adds its load and peers.
    pub fn status(&self) -> ProcessStatus {
        let current = self.config.current();
        let cordoned = current.as_ref().map(|c| &c.config.cordoned);
        let mut cordoned: Vec<String> = cordoned.into_iter().flatten().cloned().collect();
        cordoned.sort();
        ProcessStatus {
            host: self.host.clone(),
            role: self.role,
            zone: self.zone.clone(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
            incarnation: self.incarnation,
            uptime_ms: self.now().as_millis() as u64,
            ready: self.is_ready(),
            leaving: self.is_leaving(),
            revision: current.as_ref().map(|c| c.revision),
            digest: current.map_or_else(String::new, |c| c.digest.clone()),
            peers: Vec::new(),
            waiting: 0,
            running: 0,
            slots: 0,
            busy_slot_ms: 0,
            contended_ms: 0,
            contended_busy_slot_ms: 0,
            kept_accounts: 0,
            control_bytes: BTreeMap::new(),
            link_bytes: 0,
            accounts: Vec::new(),
            held: Vec::new(),
            cordoned,
        }
    }
}
