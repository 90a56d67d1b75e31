use {
    crate::{
        fleet::{HostRole, Revision},
        link::{Link, LinkHandler},
        policy::Incarnation,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// What a process says of itself on its operator port.
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
    pub waiting: u64, // requests: here at a router, announced at a sidecar
    pub running: u64,
    pub slots: u32,                           // 0 at a router
    pub busy_slot_ms: u64,                    // sum over slots, since the start
    pub contended_ms: u64,                    // time while work waited
    pub contended_busy_slot_ms: u64,          // busy slot time while work waited
    pub kept_accounts: u64,                   // whose fleet totals are summed here
    pub control_bytes: BTreeMap<String, u64>, // sent, by kind of message
    pub link_bytes: u64,                      // sent on all connections, with requests
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
    /// Every connected peer of a process.
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
    pub own: f64,     // service units given here; 0 at a router
    pub total: f64,   // service units given by the fleet, as known here
    pub waiting: u64, // requests
}

/// A request that is held back, as a router sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldStatus {
    pub request: String, // its digest
    pub account: String, // name, or short name where this router's configuration has none
    pub ends: usize,     // replicas that ended under it, one after the other
    pub since_ms: u64,   // the last of these, ago
    pub left_ms: u64,
}
