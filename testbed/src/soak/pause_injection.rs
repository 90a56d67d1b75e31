//! Makes replica stand-ins pause.

use {
    super::{fleet_under_test::FleetUnderTest, replica_slot::ReplicaSlot},
    std::time::{Duration, Instant},
    tokio::{sync::MutexGuard, time::sleep},
};

impl FleetUnderTest {
    /// `count` replicas from `first` on write nothing for this long. Those that have another fault
    /// or pause already are left out, so that no pause lasts longer. After the last slot follows
    /// the first.
    pub(super) async fn pause_replicas(
        &self,
        first: usize,
        count: usize,
        lasts: Duration,
    ) -> Instant {
        let chosen = self.slots.iter().cycle().skip(first).take(count);
        let free = chosen.filter_map(|slot| slot.try_lock().ok());
        let free: Vec<MutexGuard<ReplicaSlot>> = free.collect();
        let began = Instant::now();
        for slot in &free {
            slot.replica.pause_for(lasts);
        }
        sleep(lasts).await;
        began
    }
}
