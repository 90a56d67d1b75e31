//! Replaces replicas by such of other software versions, and breaks the connections of callers.

use {
    super::{
        fleet_under_test::{EXTRA_SERVING_TIME, FleetUnderTest},
        record::{Arrival, DrainSeen, VersionSeen},
        replica_slot::version_name,
    },
    std::time::Instant,
    tokio::time::sleep,
};

impl FleetUnderTest {
    /// A replica of this version takes the place of another one, which says that it drains and
    /// keeps serving for a while. The new one is open to other faults at once.
    pub(super) async fn change_version(
        &self,
        slot_number: usize,
        version: u32,
    ) -> Instant {
        let mut slot = self.slots[slot_number].lock().await;
        let began = Instant::now();
        let leaving = slot.change_version(&self.store, version).await;
        let confirmed = Instant::now();
        let (service, zone) = (slot.service, slot.zone.clone());
        let seen = VersionSeen {
            slot: slot_number,
            version: version_name(version),
            from: confirmed,
        };
        self.record.lock().expect("record lock").versions.push(seen);
        drop(slot);
        sleep(self.fleet.drain + EXTRA_SERVING_TIME).await;
        let received = leaving.replica.received();
        let after = received.iter().filter(|seen| seen.arrived > confirmed);
        let drain = DrainSeen {
            replica: leaving.replica.id.clone(),
            confirmed,
            arrivals: after.map(Arrival::of).collect(),
        };
        self.record.lock().expect("record lock").drains.push(drain);
        self.store.remove_replica(&leaving.replica.id);
        self.retain(service, zone, leaving.replica);
        began
    }

    /// Closes the open connections of a router's callers.
    pub(super) fn reset_callers(
        &self,
        router: usize,
    ) -> Instant {
        // Taken first: a caller may see the end of its connection at once.
        let began = Instant::now();
        self.proxies[router].close_connections();
        began
    }
}
