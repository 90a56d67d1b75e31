//! What speaks for and against replicas.

use {
    super::ReplicaBoard,
    crate::{catalog::UpstreamState, policy::Moment},
    std::time::Duration,
};

/// A replica that was full is left alone this long.
const FULL_PAUSE: Duration = Duration::from_millis(60);

impl ReplicaBoard {
    /// Something came from a replica.
    pub fn heard(
        &mut self,
        now: Moment,
        replica: &str,
    ) {
        if let Some(view) = self.replicas.get_mut(replica) {
            view.heard = now;
        }
    }

    /// Whether something came from a replica within `age`.
    pub fn is_alive(
        &self,
        now: Moment,
        replica: &str,
        age: Duration,
    ) -> bool {
        let view = self.replicas.get(replica);
        view.is_some_and(|view| now.saturating_sub(view.heard) <= age)
    }

    /// Whether a replica takes new work; none if it is not listed.
    pub fn state_of(
        &self,
        replica: &str,
    ) -> Option<UpstreamState> {
        let view = self.replicas.get(replica)?;
        Some(view.entry.state)
    }

    /// A request ended well at a replica.
    pub fn succeeded(
        &mut self,
        replica: &str,
    ) {
        if let Some(view) = self.replicas.get_mut(replica) {
            view.health.success();
        }
    }

    /// A request failed at a replica.
    pub fn failed(
        &mut self,
        now: Moment,
        replica: &str,
    ) {
        let usual = self.usual_failure_rate(replica);
        if let Some(view) = self.replicas.get_mut(replica) {
            view.health.failure(now, usual);
        }
    }

    /// A replica could not be reached, or was another one.
    pub fn unreachable(
        &mut self,
        now: Moment,
        replica: &str,
    ) {
        if let Some(view) = self.replicas.get_mut(replica) {
            view.health.unreachable(now);
        }
    }

    /// A replica said that it has no room.
    pub fn full(
        &mut self,
        now: Moment,
        replica: &str,
    ) {
        if let Some(view) = self.replicas.get_mut(replica) {
            view.health.full(now, FULL_PAUSE);
        }
    }

    /// The median failure rate of a replica's fellows.
    fn usual_failure_rate(
        &self,
        replica: &str,
    ) -> f64 {
        let Some(view) = self.replicas.get(replica) else {
            return 0.0;
        };
        let service = &view.entry.service;
        let mut rates: Vec<f64> = self
            .replicas
            .values()
            .filter(|other| other.entry.service == *service && &*other.entry.id != replica)
            .map(|other| other.health.failure_rate())
            .collect();
        rates.sort_by(f64::total_cmp);
        rates.get(rates.len() / 2).copied().unwrap_or(0.0)
    }
}
