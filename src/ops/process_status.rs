use {
    crate::{
        fleet::{HostRole, Revision},
        link::{Link, LinkHandler},
        policy::Incarnation,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The status that a process reports on its operator port.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProcessStatus {
    pub host: String,
    pub role: HostRole,
    pub zone: String,
    pub version: String, // of the program
    pub incarnation: Incarnation,
    pub uptime_ms: u64,
    pub ready: bool,
    pub leaving: bool,
    pub revision: Option<Revision>, // of the configuration in force
    pub digest: String,
    pub peers: Vec<PeerStatus>,
    pub waiting: u64, // requests: queued at a router, announced to a sidecar
    pub running: u64,
    pub slots: u32,                           // 0 at a router
    pub busy_slot_ms: u64,                    // sum over all slots, since the start
    pub contended_ms: u64,                    // time during which requests waited
    pub contended_busy_slot_ms: u64,          // busy slot time during that time
    pub kept_accounts: u64, // accounts for which this router sums the service of the fleet
    pub control_bytes: BTreeMap<String, u64>, // sent, by kind of message
    pub link_bytes: u64,    // sent on all connections, including requests
    pub accounts: Vec<AccountStatus>,
    #[serde(default)]
    pub held: Vec<HeldStatus>, // requests that are held back
    #[serde(default)]
    pub cordoned: Vec<String>, // zones that get no new work
}

/// A connected peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerStatus {
    pub host: String,
    pub role: HostRole,
    pub incarnation: Incarnation,
    pub revision: Revision,
}

impl PeerStatus {
    /// The connected peers of a process, sorted by host.
    pub fn of_link<H: LinkHandler>(link: &Link<H>) -> Vec<Self> {
        let mut peers: Vec<Self> = [HostRole::Router, HostRole::Sidecar]
            .into_iter()
            .flat_map(|role| link.peers(role))
            .map(|peer| Self {
                host: peer.host.to_string(),
                role: peer.role(),
                incarnation: peer.incarnation,
                revision: peer.revision(),
            })
            .collect();
        peers.sort_by(|a, b| a.host.cmp(&b.host));
        peers
    }
}

/// One account, as a process sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AccountStatus {
    pub account: String,
    pub share: f64,
    pub own: f64,     // service units given by this sidecar; 0 at a router
    pub total: f64,   // service units given by the fleet, as far as known here
    pub waiting: u64, // requests
}

/// A request or part of prompts that a router holds back, since replicas crashed while they ran it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldStatus {
    /// `request` or `part`; empty from earlier builds, which know requests only.
    #[serde(default)]
    pub kind: String,
    /// Digest of the request or part.
    pub request: String,
    /// Name of the account, or its hash if the router's configuration does not have it.
    pub account: String,
    /// Number of replicas that crashed while they ran it, one after another.
    pub ends: usize,
    /// Time since the last crash.
    pub since_ms: u64,
    /// Time until it is no longer held back.
    pub left_ms: u64,
}
