//! What the operator does to zones and builds, done to the fleet.

use {
    super::{
        fault::Fault,
        fault_span::FaultSpan,
        record::CordonSeen,
        world::{LOOK, World},
    },
    crate::{direct::zone_name, fleet::program_path},
    std::{
        path::Path,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// A replica that comes back is listed this long before it serves.
const LISTED_BEFORE: Duration = Duration::from_secs(1);

impl World {
    /// Empties a zone and takes it back. One zone is emptied at a time, and never the only
    /// one.
    pub(super) async fn empty_zone(
        &self,
        zone: usize,
        lasts: Duration,
    ) -> Instant {
        let _one = self.emptying.lock().await;
        let zone = zone_name(zone);
        let began = Instant::now();
        self.store.cordon_zone(&zone);
        let confirmed = Instant::now();
        sleep(lasts).await;
        let taken_back = Instant::now();
        self.store.uncordon_zone(&zone);
        let cordon = CordonSeen {
            zone,
            confirmed,
            taken_back,
        };
        self.record
            .lock()
            .expect("record lock")
            .cordons
            .push(cordon);
        began
    }

    /// The replicas of a zone are away, and come back slowly under their ids.
    pub(super) async fn return_slowly(
        &self,
        zone: usize,
        lasts: Duration,
    ) -> Instant {
        let began = Instant::now();
        let mut away = Vec::new();
        for slot in &self.slots {
            // One that is being replaced comes back in its own time.
            let Ok(slot) = slot.try_lock() else {
                continue;
            };
            if slot.zone == zone_name(zone) {
                slot.proxy.update_faults(|faults| faults.blocked = true);
                slot.proxy.close_connections();
                away.push(slot);
            }
        }
        sleep(lasts).await;
        for slot in &away {
            self.start_slowly(slot);
        }
        sleep(LISTED_BEFORE).await;
        for slot in &away {
            slot.proxy.update_faults(|faults| faults.blocked = false);
        }
        began
    }

    /// Each router is stopped as planned and starts again as the other build, one after the
    /// other; then the same back.
    pub(super) async fn replace_builds(&self) -> Instant {
        let began = Instant::now();
        let Some(other) = &self.fleet.other_build else {
            return began;
        };
        let own = program_path("archmast-router");
        let mut since = Vec::new();
        for router in 0..self.routers.len() {
            since.push(Instant::now());
            self.replace_build(router, other).await;
        }
        for (router, began) in since.into_iter().enumerate() {
            self.replace_build(router, &own).await;
            let span = FaultSpan {
                fault: Fault::OtherBuild(router),
                began,
                ended: Instant::now(),
            };
            self.record.lock().expect("record lock").spans.push(span);
        }
        began
    }

    async fn replace_build(
        &self,
        router: usize,
        program: &Path,
    ) {
        let mut process = self.routers[router].lock().await;
        process.terminate();
        while process.exit_status().is_none() {
            sleep(LOOK).await;
        }
        process.set_program(program);
        process.restart().expect("the router starts again");
    }
}
