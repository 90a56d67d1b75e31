//! Operator actions on the fleet: cordoning zones, returning the store from a copy, and replacing
//! router builds.

use {
    super::{
        fault::Fault,
        fault_span::FaultSpan,
        fleet_under_test::{FleetUnderTest, POLL_INTERVAL},
        record::CordonSeen,
    },
    crate::{
        direct::{StoreMode, zone_name},
        fleet::program_path,
    },
    futures::future::join_all,
    std::{
        path::Path,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// A returning replica is listed this long before it accepts connections.
const LISTED_BEFORE_SERVING: Duration = Duration::from_secs(1);

/// Time after the store's return within which its writers write again what it lost: about a
/// heartbeat.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(1500);

/// A key of the store that routers ignore.
const PADDING_KEY: &str = "other/padding";

impl FleetUnderTest {
    /// Cordons a zone and uncordons it. One zone is cordoned at a time, so that others serve.
    pub(super) async fn cordon_zone(
        &self,
        zone: usize,
        lasts: Duration,
    ) -> Instant {
        let _one_at_a_time = self.cordoning.lock().await;
        let zone = zone_name(zone);
        let began = Instant::now();
        self.store.cordon_zone(&zone);
        let confirmed = Instant::now();
        sleep(lasts).await;
        let uncordoned = Instant::now();
        self.store.uncordon_zone(&zone);
        let cordon = CordonSeen {
            zone,
            confirmed,
            uncordoned,
        };
        self.record
            .lock()
            .expect("record lock")
            .cordons
            .push(cordon);
        began
    }

    /// The replicas of a zone are unreachable, and return under their ids with a slow start.
    pub(super) async fn return_slowly(
        &self,
        zone: usize,
        lasts: Duration,
    ) -> Instant {
        let began = Instant::now();
        let mut away = Vec::new();
        for slot in &self.slots {
            // A replica that is being replaced is skipped.
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
        sleep(LISTED_BEFORE_SERVING).await;
        for slot in &away {
            slot.proxy.update_faults(|faults| faults.blocked = false);
        }
        began
    }

    /// The store answers nobody for a while and returns from a copy of this age. Its writers write
    /// again what it lost, each with a delay of its own, or before it answers again.
    pub(super) async fn return_store_from_copy(
        &self,
        age: Duration,
        is_outgrown: bool,
        lasts: Duration,
    ) -> Instant {
        let began = Instant::now();
        self.set_stores(StoreMode::Busy);
        sleep(lasts).await;
        let known = self.store.revision();
        let lost = self.store.return_from_copy(age);
        if is_outgrown {
            for write in lost {
                self.store.write_again(write);
            }
            while self.store.revision() <= known {
                self.store.put_bytes(PADDING_KEY, b"{}");
            }
            self.set_stores(StoreMode::Well);
            return began;
        }
        self.set_stores(StoreMode::Well);
        let rewrites = lost.into_iter().map(async |write| {
            let delay = rand::random_range(Duration::ZERO..MAX_REWRITE_DELAY);
            sleep(delay).await;
            self.store.write_again(write);
        });
        join_all(rewrites).await;
        began
    }

    fn set_stores(
        &self,
        mode: StoreMode,
    ) {
        for port in &self.ports {
            port.set_mode(mode);
        }
    }

    /// Stops each router in turn and starts it again with the other build; then the same back
    /// to its own build.
    pub(super) async fn replace_builds(&self) -> Instant {
        let began = Instant::now();
        let Some(other) = &self.fleet.other_build else {
            return began;
        };
        let own_build = program_path("archmast-router");
        let mut stopped_at = Vec::new();
        for router in 0..self.routers.len() {
            stopped_at.push(Instant::now());
            self.replace_build(router, other).await;
        }
        for (router, began) in stopped_at.into_iter().enumerate() {
            self.replace_build(router, &own_build).await;
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
            sleep(POLL_INTERVAL).await;
        }
        process.set_program(program);
        process.restart().expect("the router starts again");
    }
}
