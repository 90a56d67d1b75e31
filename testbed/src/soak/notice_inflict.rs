//! What replicas say of themselves, said by the fleet's stand-ins.

use {
    super::{
        record::{Arrival, Notice, NoticeSeen},
        replica_slot::ReplicaSlot,
        world::{SERVES_ON, World},
    },
    futures::future::join_all,
    std::time::{Duration, Instant},
    tokio::{sync::MutexGuard, time::sleep},
};

/// The rest that replicas ask for.
const REST: Duration = Duration::from_secs(2);

impl World {
    /// A replica says in all its answers that it leaves, and serves on. The store hears of
    /// it when it has gone.
    pub(super) async fn say_leaving(
        &self,
        slot: usize,
    ) -> Instant {
        let mut slot = self.slots[slot].lock().await;
        let began = Instant::now();
        slot.replica.set_headers(&[("Server-Leaving", "1")]);
        sleep(self.fleet.drain + SERVES_ON).await;
        self.note_notice(&slot, Notice::Leaves, began);
        slot.unlist(&self.store);
        self.replace(&mut slot).await;
        began
    }

    /// A replica turns all requests away and asks for rest.
    pub(super) async fn ask_for_rest(
        &self,
        slot: usize,
        lasts: Duration,
    ) -> Instant {
        let slot = self.slots[slot].lock().await;
        self.turn_away(slot, lasts).await
    }

    /// All replicas do, but for those that have another fault.
    pub(super) async fn all_ask_for_rest(
        &self,
        lasts: Duration,
    ) -> Instant {
        let began = Instant::now();
        let free = self.slots.iter().filter_map(|slot| slot.try_lock().ok());
        let free: Vec<MutexGuard<ReplicaSlot>> = free.collect();
        join_all(free.into_iter().map(|slot| self.turn_away(slot, lasts))).await;
        began
    }

    async fn turn_away(
        &self,
        slot: MutexGuard<'_, ReplicaSlot>,
        lasts: Duration,
    ) -> Instant {
        let began = Instant::now();
        slot.replica.set_backoff(Some(REST.as_secs_f64()));
        sleep(lasts).await;
        slot.replica.set_backoff(None);
        // Rests that were asked for last are watched to their end.
        sleep(REST).await;
        self.note_notice(&slot, Notice::Rests(REST), began);
        began
    }

    fn note_notice(
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
