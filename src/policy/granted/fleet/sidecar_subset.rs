use {
    crate::policy::{Moment, rendezvous},
    std::time::Duration,
};

/// How long a request must wait before the router connects to more sidecars, and how long it waits
/// between two such steps.
const GROW_AFTER: Duration = Duration::from_millis(250);

/// The subset of sidecars that a router connects to: few, and more while its requests wait
/// unserved, so that no capacity is idle while work waits.
#[derive(Debug, Clone, Copy)]
pub struct SidecarSubset {
    initial: usize, // size; 0 for all sidecars
    current: usize, // size
    changed: Moment,
}

impl SidecarSubset {
    /// Begins with `initial` sidecars, or with all of them for 0.
    pub fn new(initial: usize) -> Self {
        Self {
            initial,
            current: initial,
            changed: Moment::ZERO,
        }
    }

    /// Doubles the subset if the oldest request has waited for long and not all of the `known`
    /// sidecars are in it. Returns whether it grew.
    pub fn grow_if_waiting(
        &mut self,
        now: Moment,
        oldest_wait: Duration,
        known: usize,
    ) -> bool {
        let may_grow = self.initial > 0 && self.current < known;
        let is_due = now.saturating_sub(self.changed) >= GROW_AFTER;
        if !may_grow || !is_due || oldest_wait < GROW_AFTER {
            return false;
        }
        self.current *= 2;
        self.changed = now;
        true
    }

    /// The sidecars to connect to: those of the router's own zone first, then all others, both in
    /// rendezvous order. `sidecars` are pairs of host and zone.
    pub fn select<'s>(
        &self,
        router: &str,
        zone: &str,
        sidecars: &'s [(String, String)],
    ) -> Vec<&'s str> {
        let in_zone = |own: bool| {
            let hosts = sidecars
                .iter()
                .filter(move |(_, z)| (z == zone) == own)
                .map(|(host, _)| host.as_str());
            rendezvous(router, hosts)
        };
        let mut selected = in_zone(true);
        selected.extend(in_zone(false));
        if self.initial > 0 {
            selected.truncate(self.current);
        }
        selected
    }
}
