//! Slow start: replicas that have just started get a limited rate of requests.

use {
    super::ReplicaTable,
    crate::policy::{
        Moment,
        placement::{InFlightId, PlacementRequest, ReplicaView},
        slow_start::{SlowStartLimit, SlowStartState, ZoneRouters},
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
