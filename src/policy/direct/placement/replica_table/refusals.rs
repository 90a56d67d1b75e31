//! Refusals of requests, with the reason and the time after which to retry.

use {
    super::{ReplicaTable, versions::has_version},
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

/// Time to retry after if no replica is usable.
const NO_REPLICA_RETRY: Duration = Duration::from_millis(500);

/// Time to retry after if all replicas are in cordoned zones, which operators reopen after
/// seconds at the earliest.
const CORDONED_RETRY: Duration = Duration::from_secs(1);

/// Longest time to retry after if all replicas are in slow start, whose limit counts requests
/// per second.
const SLOW_START_RETRY: Duration = Duration::from_secs(1);

/// The shortest and longest time to retry after.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// Time to retry after if no replica is in an allowed region, which takes a new replica.
const NO_REGION_RETRY: Duration = Duration::from_secs(1);

/// Time to retry after if no replica has the software version of a stream, which takes a new
/// replica.
const NO_VERSION_RETRY: Duration = Duration::from_secs(1);

impl ReplicaTable {
    /// The refusal of a request for which no replica is usable.
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
        if request.version.is_some()
            && !ready
                .clone()
                .any(|view| has_version(request.version, &view.entry))
        {
            return Choice::Refuse {
                reason: RefusalReason::NoVersion,
                retry_after: NO_VERSION_RETRY,
            };
        }
        let backoff = self.shortest_backoff(now, request.service);
        if let Some(backoff) = backoff.filter(|backoff| !backoff.is_zero()) {
            return Choice::Refuse {
                reason: RefusalReason::Backoff,
                retry_after: backoff.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1),
            };
        }
        if !request.tried.is_empty() {
            return Choice::Refuse {
                reason: RefusalReason::NoReplica,
                retry_after: NO_REPLICA_RETRY,
            };
        }
        let slow_start_remaining = self.slow_start_remaining(now, request.service);
        if let Some(remaining) = slow_start_remaining {
            let wait_ms = remaining.min(SLOW_START_RETRY).as_secs_f64() * 1000.0;
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

    /// The refusal of a request for which capacity is free in `wait_ms` at the earliest.
    pub(super) fn refuse(
        &self,
        request: &PlacementRequest,
        wait_ms: f64,
    ) -> Choice {
        let until_free = Duration::from_secs_f64(wait_ms / 1000.0);
        let (reason, wait) = match request.share_status {
            ShareStatus::Over { wait, .. } => (RefusalReason::OverShare, wait.max(until_free)),
            ShareStatus::Within | ShareStatus::Under => (RefusalReason::NoCapacity, until_free),
        };
        Choice::Refuse {
            reason,
            retry_after: wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1),
        }
    }
}
