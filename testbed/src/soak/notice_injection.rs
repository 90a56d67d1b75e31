//! Replica stand-ins that announce in their answers that they leave or ask for a backoff.

use {
    super::{
        fleet_under_test::{EXTRA_SERVING_TIME, FleetUnderTest},
        record::{Arrival, Notice, NoticeSeen},
        replica_slot::ReplicaSlot,
    },
    futures::future::join_all,
    std::time::{Duration, Instant},
    tokio::{sync::MutexGuard, time::sleep},
};

/// Backoff that replicas ask for.
const BACKOFF: Duration = Duration::from_secs(2);

impl FleetUnderTest {
    /// A replica announces in all its answers that it leaves, and keeps serving. Its entry in the
    /// store is removed only when it is gone.
    pub(super) async fn announce_leaving(
        &self,
        slot: usize,
    ) -> Instant {
        let mut slot = self.slots[slot].lock().await;
        let began = Instant::now();
        slot.replica.set_headers(&[("Server-Leaving", "1")]);
        sleep(self.fleet.drain + EXTRA_SERVING_TIME).await;
        self.record_notice(&slot, Notice::Leaving, began);
        slot.unlist(&self.store);
        self.replace(&mut slot).await;
        began
    }

    /// A replica refuses all requests and asks for a backoff.
    pub(super) async fn request_backoff(
        &self,
        slot: usize,
        lasts: Duration,
    ) -> Instant {
        let slot = self.slots[slot].lock().await;
        self.refuse_requests(slot, lasts).await
    }

    /// All replicas that have no other fault refuse all requests and ask for a backoff.
    pub(super) async fn request_backoff_of_all(
        &self,
        lasts: Duration,
    ) -> Instant {
        let began = Instant::now();
        let free = self.slots.iter().filter_map(|slot| slot.try_lock().ok());
        let free: Vec<MutexGuard<ReplicaSlot>> = free.collect();
        join_all(
            free.into_iter()
                .map(|slot| self.refuse_requests(slot, lasts)),
        )
        .await;
        began
    }

    async fn refuse_requests(
        &self,
        slot: MutexGuard<'_, ReplicaSlot>,
        lasts: Duration,
    ) -> Instant {
        let began = Instant::now();
        slot.replica.set_backoff(Some(BACKOFF.as_secs_f64()));
        sleep(lasts).await;
        slot.replica.set_backoff(None);
        // Backoffs that were requested last are observed to their end.
        sleep(BACKOFF).await;
        self.record_notice(&slot, Notice::Backoff(BACKOFF), began);
        began
    }

    fn record_notice(
        &self,
        slot: &ReplicaSlot,
        notice: Notice,
        began: Instant,
    ) {
        let seen = slot.replica.received().into_iter();
        let arrivals = seen
            .filter(|request| request.arrived >= began)
            .map(|request| (Arrival::of(&request), request.was_run));
        let seen = NoticeSeen {
            replica: slot.replica.id.clone(),
            notice,
            arrivals: arrivals.collect(),
        };
        self.record.lock().expect("record lock").notices.push(seen);
    }
}
