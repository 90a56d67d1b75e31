//! Replicas that have just started, and bear few requests.

use {
    super::ReplicaBoard,
    crate::policy::{
        Moment,
        placement::{PlacementRequest, ReplicaView, WorkNumber},
        slow_start::{SlowStartLimit, SlowStartState, ZoneRouters},
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

impl ReplicaBoard {
    /// What replicas of each service bear while they start.
    pub fn set_start_limits(
        &mut self,
        limits: HashMap<Arc<str>, SlowStartLimit>,
    ) {
        self.start_limits = limits;
    }

    /// Who is there of the own zone's routers.
    pub fn set_zone_routers(
        &mut self,
        routers: ZoneRouters,
    ) {
        self.zone_routers = routers;
    }

    /// Whether a replica that may just have started takes one more request of this
    /// router: one router of its zone sends there, at a bounded pace.
    pub(super) fn bears_more(
        &self,
        now: Moment,
        request: &PlacementRequest,
        view: &ReplicaView,
    ) -> bool {
        let Some(limit) = self.slow_limit(now, view) else {
            return true;
        };
        &*view.entry.zone == request.zone
            && view.start_pace.permits_send(now, limit.per_second)
            && self.zone_routers.owns(now, view.hash)
    }

    /// Whether a request that was counted at its replica may still be sent there: not to
    /// one that has started again since, and not late to one that starts slowly.
    pub fn still_bears(
        &self,
        now: Moment,
        number: WorkNumber,
    ) -> bool {
        let Some(work) = self.works.get(&number) else {
            return false;
        };
        let view = self.replicas.get(&work.replica);
        let Some(view) = view.filter(|view| self.slow_limit(now, view).is_some()) else {
            return true;
        };
        let is_same = view.start == work.start;
        is_same
            && work.is_counted
            && now.saturating_sub(work.sent) <= SlowStartState::MAX_SEND_DELAY
    }

    /// The shortest time until a replica of a service is through its start, if any that
    /// gets no more requests of this router is in it.
    pub(super) fn start_left(
        &self,
        now: Moment,
        service: &str,
    ) -> Option<Duration> {
        let views = self.replicas.values();
        let of_service = views.filter(|view| &*view.entry.service == service);
        let slow = of_service.filter(|view| self.slow_limit(now, view).is_some());
        slow.map(|view| view.start_pace.remaining(now)).min()
    }

    /// The limit that binds at a replica now; none if it is not slow.
    fn slow_limit(
        &self,
        now: Moment,
        view: &ReplicaView,
    ) -> Option<SlowStartLimit> {
        let limit = self.start_limits.get(&view.entry.service)?;
        view.start_pace.is_slow(now).then_some(*limit)
    }
}
