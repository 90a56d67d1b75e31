//! Why a request goes nowhere, and when it may come back.

use {
    super::ReplicaBoard,
    crate::{
        catalog::UpstreamState,
        policy::{
            Moment,
            placement::{Choice, PlacementRequest, RefusalReason, ReplicaView},
            shares::ShareStatus,
        },
    },
    std::time::Duration,
};

/// When to come back where no replica is known.
const NO_REPLICA_RETRY: Duration = Duration::from_millis(500);

/// When to come back where all replicas are in zones that get no new work: operators give
/// a zone back after seconds at the soonest.
const CORDONED_RETRY: Duration = Duration::from_secs(1);

/// When to come back at the latest where all replicas have just started: a second later
/// they have room for as many requests again.
const START_RETRY: Duration = Duration::from_secs(1);

/// The shortest and longest time to come back after.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// When to come back where no replica is in a region that is allowed: it takes a new replica.
const NO_REGION_RETRY: Duration = Duration::from_secs(1);

impl ReplicaBoard {
    /// The refusal where no replica may be used.
    pub(super) fn refuse_unusable(
        &self,
        now: Moment,
        request: &PlacementRequest,
    ) -> Choice {
        let mut ready = self.replicas.values().filter(|view| {
            &*view.entry.service == request.service && view.entry.state == UpstreamState::Ready
        });
        let is_allowed = |view: &&ReplicaView| self.is_allowed(request.regions, &view.entry);
        if ready.clone().count() > 0 && !ready.clone().any(|view| is_allowed(&view)) {
            return Choice::Refuse {
                reason: RefusalReason::NoRegion,
                retry_after: NO_REGION_RETRY,
            };
        }
        let rest = self.all_rest_for(now, request.service);
        if let Some(rest) = rest.filter(|rest| !rest.is_zero()) {
            return Choice::Refuse {
                reason: RefusalReason::Resting,
                retry_after: rest.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1),
            };
        }
        if !request.tried.is_empty() {
            return Choice::Refuse {
                reason: RefusalReason::NoReplica,
                retry_after: NO_REPLICA_RETRY,
            };
        }
        let starting = self.start_left(now, request.service);
        if let Some(left) = starting {
            let wait_ms = left.min(START_RETRY).as_secs_f64() * 1000.0;
            return self.refuse(request, wait_ms);
        }
        match ready.any(|view| self.is_cordoned(&view.entry)) {
            true => Choice::Refuse {
                reason: RefusalReason::Cordoned,
                retry_after: CORDONED_RETRY,
            },
            false => Choice::Refuse {
                reason: RefusalReason::NoReplica,
                retry_after: NO_REPLICA_RETRY,
            },
        }
    }

    /// The refusal where replicas have room in `wait_ms` at the soonest.
    pub(super) fn refuse(
        &self,
        request: &PlacementRequest,
        wait_ms: f64,
    ) -> Choice {
        let room_in = Duration::from_secs_f64(wait_ms / 1000.0);
        let (reason, wait) = match request.standing {
            ShareStatus::Over { wait, .. } => (RefusalReason::OverShare, wait.max(room_in)),
            ShareStatus::Within | ShareStatus::Under => (RefusalReason::NoRoom, room_in),
        };
        Choice::Refuse {
            reason,
            retry_after: wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1),
        }
    }
}
