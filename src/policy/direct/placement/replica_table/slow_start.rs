//! Slow start: replicas that have just started get a limited rate of requests.

use {
    super::ReplicaTable,
    crate::{
        catalog::UpstreamEntry,
        policy::{
            Moment,
            placement::{InFlightId, PlacementRequest, ReplicaView},
            slow_start::{SlowStartLimit, SlowStartState, ZoneRouters},
        },
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

impl ReplicaTable {
    /// Replaces the slow-start limits, by service.
    pub fn set_start_limits(
        &mut self,
        limits: HashMap<Arc<str>, SlowStartLimit>,
    ) {
        self.start_limits = limits;
    }

    /// Replaces the list of live routers of this router's zone.
    pub fn set_zone_routers(
        &mut self,
        routers: ZoneRouters,
    ) {
        self.zone_routers = routers;
    }

    /// Whether the replicas of a service take few requests in their slow start.
    pub fn has_slow_start(
        &self,
        service: &str,
    ) -> bool {
        self.start_limits.contains_key(service)
    }

    /// Sets the remaining slow start that a replica reported itself.
    pub fn set_slow_start(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
        remaining: Duration,
    ) {
        if let Some(view) = self.same_start(replica) {
            view.slow_start.set_remaining(now, remaining);
        }
    }

    /// Assumes that a replica that is running has just started.
    pub fn assume_slow_start(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
    ) {
        self.assume_restarted(now, replica, Duration::ZERO);
    }

    /// Assumes that a replica restarts within `absence`, unless it reports otherwise.
    pub(super) fn assume_restarted(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
        absence: Duration,
    ) {
        let limit = self.start_limits.get(&replica.service).copied();
        if let Some((limit, view)) = limit.zip(self.same_start(replica)) {
            view.slow_start
                .assume_restarted(now, limit.duration + absence);
        }
    }

    /// Whether slow start permits one more request of this router to a replica. While a replica
    /// is in slow start, only one router of its zone sends there, at a limited rate.
    pub(super) fn slow_start_permits(
        &self,
        now: Moment,
        request: &PlacementRequest,
        view: &ReplicaView,
    ) -> bool {
        let Some(limit) = self.slow_limit(now, view) else {
            return true;
        };
        &*view.entry.zone == request.zone
            && view.slow_start.permits_send(now, limit.per_second)
            && self.zone_routers.owns(now, view.id_hash)
    }

    /// Whether slow start still permits a request that was counted at its replica. It does not
    /// if the replica has restarted since, or the request was delayed for too long.
    pub fn may_still_start(
        &self,
        now: Moment,
        id: InFlightId,
    ) -> bool {
        let Some(request) = self.in_flight.get(&id) else {
            return false;
        };
        let view = self.replicas.get(&request.replica);
        let Some(view) = view.filter(|view| self.slow_limit(now, view).is_some()) else {
            return true;
        };
        let is_same = view.start_hash == request.start_hash;
        is_same
            && request.is_counted
            && now.saturating_sub(request.sent) <= SlowStartState::MAX_SEND_DELAY
    }

    /// The shortest remaining slow start among the replicas of a service; none if no replica is
    /// in slow start.
    pub(super) fn slow_start_remaining(
        &self,
        now: Moment,
        service: &str,
    ) -> Option<Duration> {
        let views = self.replicas.values();
        let of_service = views.filter(|view| &*view.entry.service == service);
        let slow = of_service.filter(|view| self.slow_limit(now, view).is_some());
        slow.map(|view| view.slow_start.remaining(now)).min()
    }

    /// The slow-start limit in force at a replica; none if it is not in slow start.
    fn slow_limit(
        &self,
        now: Moment,
        view: &ReplicaView,
    ) -> Option<SlowStartLimit> {
        let limit = self.start_limits.get(&view.entry.service)?;
        view.slow_start.is_slow(now).then_some(*limit)
    }
}
