//! Injects faults into the fleet and undoes them.

use {
    super::{
        config_change::ConfigChange,
        fault::Fault,
        fault_span::FaultSpan,
        fleet_under_test::{EXTRA_SERVING_TIME, FleetUnderTest, POLL_INTERVAL},
        record::DrainSeen,
        replica_slot::ReplicaSlot,
        schedule::PlannedFault,
    },
    crate::direct::{Store, StoreMode},
    std::{
        ops::Range,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// A process younger than this may not have installed its signal handlers yet.
const SIGNAL_SETUP_TIME: Duration = Duration::from_millis(100);

/// Delay that a slow link adds in each direction.
const LINK_DELAY: Duration = Duration::from_millis(40);

impl FleetUnderTest {
    /// Injects one fault, undoes it, and records its span.
    pub async fn inject(
        self: Arc<Self>,
        planned: PlannedFault,
    ) {
        let fault = planned.fault;
        let lasts = planned.lasts;
        let mut published = None;
        let began = match fault {
            Fault::KillRouter(router) => self.kill(router..router + 1, lasts).await,
            Fault::KillAllRouters => self.kill(0..self.routers.len(), lasts).await,
            Fault::KillRouters { first, count } => self.kill(first..first + count, lasts).await,
            Fault::StopRouter(router) => self.stop(router).await,
            Fault::FreezeRouter(router) => self.freeze(router, lasts).await,
            Fault::HangUpRouter(router) => self.hang_up(router).await,
            Fault::StoreTrouble(router, mode) => {
                self.disturb_stores(router..router + 1, mode, lasts).await
            }
            Fault::StoreDown(mode) => {
                self.disturb_stores(0..self.routers.len(), mode, lasts)
                    .await
            }
            Fault::ForgetHistory => {
                self.store.compact();
                Instant::now()
            }
            Fault::StoreFromCopy {
                age_ms,
                is_outgrown,
            } => {
                let age = Duration::from_millis(age_ms);
                self.return_store_from_copy(age, is_outgrown, lasts).await
            }
            Fault::Publish => {
                published = Some(self.publish(ConfigChange::Routes));
                Instant::now()
            }
            Fault::DrainReplica(slot) => self.retire(slot, ReplicaSlot::drain).await,
            Fault::UnlistReplica(slot) => self.retire(slot, ReplicaSlot::unlist).await,
            Fault::CrashReplica(slot) => self.crash(slot, lasts).await,
            Fault::SpoilAnswers(slot) => self.send_faulty_answers(slot, lasts).await,
            Fault::SlowLink(slot) => self.slow(slot, lasts).await,
            Fault::CutLink(slot) => self.cut(slot, lasts).await,
            Fault::ResetLink(slot) => {
                let slot = self.slots[slot].lock().await;
                slot.proxy.close_connections();
                Instant::now()
            }
            Fault::SilenceStore(router) => self.silence_stores(router..router + 1),
            Fault::SilenceAllStores => self.silence_stores(0..self.routers.len()),
            Fault::SilenceReplica(slot) => {
                let slot = self.slots[slot].lock().await;
                slot.proxy.stall_connections();
                Instant::now()
            }
            Fault::SilenceCallers(router) => {
                self.silence_callers(router);
                Instant::now()
            }
            Fault::EmptyZone(zone) => self.cordon_zone(zone, lasts).await,
            Fault::SlowReturn(zone) => self.return_slowly(zone, lasts).await,
            Fault::SayLeaving(slot) => self.announce_leaving(slot).await,
            Fault::AskForRest(slot) => self.request_backoff(slot, lasts).await,
            Fault::AllAskForRest => self.request_backoff_of_all(lasts).await,
            Fault::ChangeVersion { replica, version } => {
                self.change_version(replica, version).await
            }
            Fault::ResetCallers(router) => self.reset_callers(router),
            Fault::PauseReplica(slot) => self.pause_replicas(slot, 1, lasts).await,
            Fault::PauseReplicas { first, count } => self.pause_replicas(first, count, lasts).await,
            Fault::ChangeConfig(change) => {
                published = Some(self.publish(change));
                Instant::now()
            }
            Fault::ReplaceBuilds => self.replace_builds().await,
            // Injected as a part of `ReplaceBuilds`.
            Fault::OtherBuild(_) => Instant::now(),
        };
        let span = FaultSpan {
            fault,
            began,
            ended: Instant::now(),
        };
        self.record.lock().expect("record lock").spans.push(span);
        if let Some(version) = published {
            self.follow_change(version).await;
        }
    }

    fn silence_stores(
        &self,
        routers: Range<usize>,
    ) -> Instant {
        for router in routers {
            self.ports[router].proxy.stall_connections();
        }
        Instant::now()
    }

    async fn kill(
        &self,
        routers: Range<usize>,
        lasts: Duration,
    ) -> Instant {
        let mut processes = Vec::new();
        for router in routers {
            processes.push(self.routers[router].lock().await);
        }
        let began = Instant::now();
        for process in &mut processes {
            process.kill();
        }
        sleep(lasts).await;
        for process in &mut processes {
            process.restart().expect("the router starts again");
        }
        began
    }

    async fn stop(
        &self,
        router: usize,
    ) -> Instant {
        let mut process = self.routers[router].lock().await;
        let began = Instant::now();
        process.terminate();
        while process.exit_status().is_none() {
            sleep(POLL_INTERVAL).await;
        }
        process.restart().expect("the router starts again");
        began
    }

    /// Signals a router that its settings changed. The signal ends a process that has just been
    /// started and has not installed its handler; only such a router is started again. Any
    /// other that ends stays down.
    async fn hang_up(
        &self,
        router: usize,
    ) -> Instant {
        let mut process = self.routers[router].lock().await;
        let began = Instant::now();
        process.signal_reload();
        let is_starting = began.duration_since(process.started()) < SIGNAL_SETUP_TIME;
        sleep(POLL_INTERVAL).await;
        if is_starting && process.exit_status().is_some() {
            process.restart().expect("the router starts again");
            let span = FaultSpan {
                fault: Fault::KillRouter(router),
                began,
                ended: Instant::now(),
            };
            self.record.lock().expect("record lock").spans.push(span);
        }
        began
    }

    async fn freeze(
        &self,
        router: usize,
        lasts: Duration,
    ) -> Instant {
        let process = self.routers[router].lock().await;
        let began = Instant::now();
        process.freeze();
        sleep(lasts).await;
        process.thaw();
        began
    }

    async fn disturb_stores(
        &self,
        routers: Range<usize>,
        mode: StoreMode,
        lasts: Duration,
    ) -> Instant {
        let began = Instant::now();
        for router in routers.clone() {
            self.ports[router].set_mode(mode);
        }
        sleep(lasts).await;
        for router in routers {
            self.ports[router].set_mode(StoreMode::Well);
        }
        began
    }

    /// A replica leaves, announced or not as `change_listing` does, and keeps serving for a while.
    async fn retire(
        &self,
        slot: usize,
        change_listing: fn(&ReplicaSlot, &Store),
    ) -> Instant {
        let mut slot = self.slots[slot].lock().await;
        let began = Instant::now();
        change_listing(&slot, &self.store);
        let confirmed = Instant::now();
        sleep(self.fleet.drain + EXTRA_SERVING_TIME).await;
        let drain = DrainSeen {
            replica: slot.replica.id.clone(),
            confirmed,
            arrivals: slot.arrivals_after(confirmed),
        };
        self.record.lock().expect("record lock").drains.push(drain);
        slot.unlist(&self.store);
        self.replace(&mut slot).await;
        began
    }

    async fn crash(
        &self,
        slot: usize,
        lasts: Duration,
    ) -> Instant {
        let mut slot = self.slots[slot].lock().await;
        let began = Instant::now();
        slot.proxy.update_faults(|faults| faults.blocked = true);
        slot.proxy.close_connections();
        sleep(lasts).await;
        slot.unlist(&self.store);
        self.replace(&mut slot).await;
        began
    }

    async fn send_faulty_answers(
        &self,
        slot: usize,
        lasts: Duration,
    ) -> Instant {
        let slot = self.slots[slot].lock().await;
        let began = Instant::now();
        slot.send_faulty_answers();
        sleep(lasts).await;
        slot.replica.clear_script();
        began
    }

    async fn slow(
        &self,
        slot: usize,
        lasts: Duration,
    ) -> Instant {
        let slot = self.slots[slot].lock().await;
        let began = Instant::now();
        slot.proxy.update_faults(|faults| faults.delay = LINK_DELAY);
        sleep(lasts).await;
        slot.proxy
            .update_faults(|faults| faults.delay = Duration::ZERO);
        began
    }

    async fn cut(
        &self,
        slot: usize,
        lasts: Duration,
    ) -> Instant {
        let slot = self.slots[slot].lock().await;
        let began = Instant::now();
        slot.proxy.update_faults(|faults| faults.blocked = true);
        sleep(lasts).await;
        slot.proxy.update_faults(|faults| faults.blocked = false);
        began
    }
}
