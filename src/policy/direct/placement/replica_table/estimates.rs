//! Periodic refresh of the estimates of replica performance. Choices, which are far more
//! frequent, read the refreshed values.

use {
    super::{ReplicaTable, paces::zone_evidence},
    crate::policy::{
        Moment,
        placement::{BaselinePace, PaceEvidence, PauseEstimate, ReplicaPace},
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Minimum interval between two refreshes.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum interval for each replica, many times the computing time of its refresh.
const INTERVAL_PER_REPLICA: Duration = Duration::from_micros(100);

impl ReplicaTable {
    /// Recomputes the estimates of all replicas, unless the last refresh is recent.
    pub fn refresh_estimates(
        &mut self,
        now: Moment,
    ) {
        let interval = REFRESH_INTERVAL.max(INTERVAL_PER_REPLICA * self.replicas.len() as u32);
        if now.saturating_sub(self.refreshed) < interval {
            return;
        }
        self.refreshed = now;
        self.refresh_overdue(now);
        let mut sums: HashMap<Arc<str>, PaceEvidence> = HashMap::new();
        for view in self.replicas.values_mut() {
            view.observations.pace.remove_old_peer_evidence(now);
            let own = view.observations.pace.own(now);
            match sums.get_mut(&view.entry.service) {
                Some(sum) => *sum += own,
                None => {
                    sums.insert(view.entry.service.clone(), own);
                }
            }
        }
        let sums = sums.into_iter();
        self.baseline_paces = sums
            .map(|(service, sum)| (service, BaselinePace::new(sum)))
            .collect();
        for view in self.replicas.values_mut() {
            let evidence = zone_evidence(view, now, &self.baseline_paces);
            view.pace = ReplicaPace::new(evidence);
            view.pause_estimate =
                PauseEstimate::new(now, view.observations.pauses(now), &view.pauses);
        }
    }
}
