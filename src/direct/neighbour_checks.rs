use {
    super::gateway::Gateway,
    crate::policy::Moment,
    std::{collections::HashMap, net::SocketAddr, sync::Mutex, time::Duration},
};

/// For how long a neighbour that showed that it runs needs no other check: a router that forwards
/// many connections would spend most of its processor time on checks.
const VALIDITY: Duration = Duration::from_millis(250);

/// When neighbours last answered the check that they serve callers.
#[derive(Default)]
pub struct NeighbourChecks(Mutex<HashMap<SocketAddr, Moment>>); // a leaf lock

impl NeighbourChecks {
    /// Records that a neighbour answered the check.
    pub fn record(
        &self,
        now: Moment,
        neighbour: SocketAddr,
    ) {
        let mut passed = self.0.lock().expect("neighbour checks lock");
        passed.retain(|_, at| now.saturating_sub(*at) <= VALIDITY);
        passed.insert(neighbour, now);
    }

    /// Whether a neighbour need not be checked now: it answered a check lately, or reported lately
    /// to a router that lags, which cannot tell a late answer from its own delay.
    pub fn is_dispensable(
        &self,
        gateway: &Gateway,
        neighbour: SocketAddr,
    ) -> bool {
        let now = gateway.now();
        let passed = self.0.lock().expect("neighbour checks lock");
        let is_recent = |at: &Moment| now.saturating_sub(*at) <= VALIDITY;
        if passed.get(&neighbour).is_some_and(is_recent) {
            return true;
        }
        drop(passed);
        gateway.processor.is_lagging() && gateway.peers.has_recent_report(now, VALIDITY, neighbour)
    }
}
