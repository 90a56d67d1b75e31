use {
    crate::policy::{Moment, rendezvous},
    std::time::Duration,
};

/// Demand that stays unserved this long widens the reach.
const WIDEN_AFTER: Duration = Duration::from_millis(250);

/// How many sidecars a router connects to: few, and more while its requests
/// wait unserved, so that capacity is never idle while work waits.
#[derive(Debug, Clone, Copy)]
pub struct Reach {
    initial: usize, // 0 for all
    current: usize,
    changed: Moment,
}

impl Reach {
    /// Begins with `initial` sidecars, or with all for 0.
    pub fn new(initial: usize) -> Self {
        Self {
            initial,
            current: initial,
            changed: Moment::ZERO,
        }
    }

    /// Doubles the reach while the oldest request has waited for long.
    /// True when it grew.
    pub fn adapt(
        &mut self,
        now: Moment,
        oldest_wait: Duration,
        known: usize,
    ) -> bool {
        let may_grow = self.initial > 0 && self.current < known;
        let settled = now.saturating_sub(self.changed) >= WIDEN_AFTER;
        if !may_grow || !settled || oldest_wait < WIDEN_AFTER {
            return false;
        }
        self.current *= 2;
        self.changed = now;
        true
    }

    /// The sidecars to connect to: the router's own zone first, each zone in
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
