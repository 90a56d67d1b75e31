use {
    super::{
        attempt::Kind,
        callers::Callers,
        checks::broken,
        fault::Fault,
        fault_span::FaultSpan,
        record::{DrainSeen, Record},
        replica_slot::ReplicaSlot,
        schedule::{PlannedFault, schedule},
        soak_result::SoakResult,
    },
    crate::{
        direct::{
            Client, ClientRequest, DirectFleet, Replica, RouteText, Store, StoreMode, StorePort,
        },
        fleet::Process,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::Mutex as AsyncMutex, task::JoinSet, time::sleep},
};

/// Routers, and the service of each replica.
const ROUTERS: usize = 3;
const SERVICES: &[&str] = &["plain", "plain", "plain", "events", "events"];

/// After this long a leaving replica must get nothing new, and it serves on for
/// a while.
const DRAIN_TIME: Duration = Duration::from_secs(3);
const SERVES_ON: Duration = Duration::from_millis(1500);

/// When all is well again, everything must work within this time.
const RECOVERY: Duration = Duration::from_secs(10);

/// Requests to each router that must then be served, all of them.
const PROBES: usize = 20;

/// What a slow link adds, one way.
const SLOW: Duration = Duration::from_millis(40);

/// Between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(20);

/// The fleet under test. Each router and each replica has one fault at a time.
struct World {
    store: Store,
    ports: Vec<StorePort>,
    callers: Vec<SocketAddr>,
    routers: Vec<AsyncMutex<Process>>,
    slots: Vec<AsyncMutex<ReplicaSlot>>,
    version: AtomicU64, // of the newest configuration
    record: Mutex<Record>,
    retired: Mutex<Vec<(&'static str, Replica)>>, // replicas that are gone, with what they saw
}

/// Runs the fleet for `length` under the faults that a seed draws.
pub async fn soak(
    seed: u64,
    length: Duration,
) -> SoakResult {
    let mut fleet = DirectFleet::start(ROUTERS, "").await;
    let world = Arc::new(World::start(&mut fleet).await);
    world.publish();
    fleet.all_ready().await;
    for router in 0..ROUTERS {
        fleet.serves(router, Kind::Events.path(), 200).await;
    }
    let callers = Callers::start(seed, &world.callers);
    let planned = schedule(seed, length, ROUTERS, SERVICES.len());
    let mut tasks = JoinSet::new();
    for fault in planned {
        sleep(fault.after).await;
        tasks.spawn(world.clone().inflict(fault));
    }
    tasks.join_all().await;
    world.recover().await;
    let attempts = callers.end().await;
    world.record.lock().expect("record lock").attempts = attempts;
    world.result(seed).await
}

impl World {
    async fn start(fleet: &mut DirectFleet) -> Self {
        let ip = fleet.standins();
        let mut slots = Vec::new();
        for (number, service) in SERVICES.iter().enumerate() {
            let slot = ReplicaSlot::start(number, service, ip, &fleet.store).await;
            slots.push(AsyncMutex::new(slot));
        }
        let routers = std::mem::take(&mut fleet.routers);
        Self {
            store: fleet.store.clone(),
            ports: std::mem::take(&mut fleet.ports),
            callers: fleet.callers.clone(),
            routers: routers.into_iter().map(AsyncMutex::new).collect(),
            slots,
            version: AtomicU64::new(0),
            record: Mutex::default(),
            retired: Mutex::default(),
        }
    }

    /// Publishes a configuration with one more route than the last.
    fn publish(&self) {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let mut routes = vec![
            RouteText::new(Kind::Read.path(), "plain", "idempotent"),
            RouteText::new(Kind::Charge.path(), "plain", "non_idempotent"),
            RouteText::new(Kind::Events.path(), "events", "streaming"),
        ];
        for added in 1..=version {
            let prefix: &'static str = Box::leak(newest_path(added).into_boxed_str());
            routes.push(RouteText::new(prefix, "plain", "idempotent"));
        }
        self.store.publish(version, &routes);
    }

    /// Does one fault and undoes it.
    async fn inflict(
        self: Arc<Self>,
        planned: PlannedFault,
    ) {
        let fault = planned.fault;
        let lasts = planned.lasts;
        let began = match fault {
            Fault::KillRouter(router) => self.kill(&[router], lasts).await,
            Fault::KillAllRouters => self.kill(&[0, 1, 2], lasts).await,
            Fault::StopRouter(router) => self.stop(router).await,
            Fault::FreezeRouter(router) => self.freeze(router, lasts).await,
            Fault::HangUpRouter(router) => {
                let process = self.routers[router].lock().await;
                process.hang_up();
                Instant::now()
            }
            Fault::StoreTrouble(router, mode) => self.trouble(&[router], mode, lasts).await,
            Fault::StoreDown(mode) => self.trouble(&[0, 1, 2], mode, lasts).await,
            Fault::ForgetHistory => {
                self.store.forget_history();
                Instant::now()
            }
            Fault::Publish => {
                self.publish();
                Instant::now()
            }
            Fault::DrainReplica(slot) => self.drain(slot).await,
            Fault::CrashReplica(slot) => self.crash(slot, lasts).await,
            Fault::SpoilAnswers(slot) => self.spoil(slot, lasts).await,
            Fault::SlowLink(slot) => self.slow(slot, lasts).await,
            Fault::CutLink(slot) => self.cut(slot, lasts).await,
            Fault::ResetLink(slot) => {
                let slot = self.slots[slot].lock().await;
                slot.proxy.cut_connections();
                Instant::now()
            }
        };
        let span = FaultSpan {
            fault,
            began,
            ended: Instant::now(),
        };
        self.record.lock().expect("record lock").spans.push(span);
    }

    async fn kill(
        &self,
        routers: &[usize],
        lasts: Duration,
    ) -> Instant {
        let mut held = Vec::new();
        for router in routers {
            held.push(self.routers[*router].lock().await);
        }
        let began = Instant::now();
        for process in &mut held {
            process.kill();
        }
        sleep(lasts).await;
        for process in &mut held {
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
        while process.ended().is_none() {
            sleep(LOOK).await;
        }
        process.restart().expect("the router starts again");
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

    async fn trouble(
        &self,
        routers: &[usize],
        mode: StoreMode,
        lasts: Duration,
    ) -> Instant {
        let began = Instant::now();
        for router in routers {
            self.ports[*router].set(mode);
        }
        sleep(lasts).await;
        for router in routers {
            self.ports[*router].set(StoreMode::Well);
        }
        began
    }

    async fn drain(
        &self,
        slot: usize,
    ) -> Instant {
        let mut slot = self.slots[slot].lock().await;
        let began = Instant::now();
        slot.drain(&self.store);
        sleep(DRAIN_TIME).await;
        let when_due = slot.replica.seen().len();
        sleep(SERVES_ON).await;
        let drain = DrainSeen {
            replica: slot.replica.id.clone(),
            span: FaultSpan {
                fault: Fault::Publish,
                began,
                ended: Instant::now(),
            },
            when_due,
            at_the_end: slot.replica.seen().len(),
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
        slot.proxy.set(|faults| faults.cut = true);
        slot.proxy.cut_connections();
        sleep(lasts).await;
        slot.unlist(&self.store);
        self.replace(&mut slot).await;
        began
    }

    async fn replace(
        &self,
        slot: &mut ReplicaSlot,
    ) {
        let gone = slot.replace(&self.store).await;
        let mut retired = self.retired.lock().expect("retired lock");
        retired.push((slot.service, gone));
    }

    async fn spoil(
        &self,
        slot: usize,
        lasts: Duration,
    ) -> Instant {
        let slot = self.slots[slot].lock().await;
        let began = Instant::now();
        slot.spoil_answers();
        sleep(lasts).await;
        slot.replica.forget_script();
        began
    }

    async fn slow(
        &self,
        slot: usize,
        lasts: Duration,
    ) -> Instant {
        let slot = self.slots[slot].lock().await;
        let began = Instant::now();
        slot.proxy.set(|faults| faults.delay = SLOW);
        sleep(lasts).await;
        slot.proxy.set(|faults| faults.delay = Duration::ZERO);
        began
    }

    async fn cut(
        &self,
        slot: usize,
        lasts: Duration,
    ) -> Instant {
        let slot = self.slots[slot].lock().await;
        let began = Instant::now();
        slot.proxy.set(|faults| faults.cut = true);
        sleep(lasts).await;
        slot.proxy.set(|faults| faults.cut = false);
        began
    }

    /// When nothing is wrong any more: each router has the newest configuration
    /// in force, and serves whatever comes.
    async fn recover(&self) {
        let newest = newest_path(self.version.load(Ordering::SeqCst));
        for (router, address) in self.callers.iter().enumerate() {
            let until = Instant::now() + RECOVERY;
            while probe(*address, &newest).await != 200 {
                if Instant::now() > until {
                    self.note_unserved(format!("router {router} lacks the newest route {newest}"));
                    break;
                }
                sleep(LOOK).await;
            }
            for path in [Kind::Read.path(), Kind::Events.path()] {
                for _ in 0..PROBES {
                    let status = probe(*address, path).await;
                    if status != 200 {
                        self.note_unserved(format!("router {router} answers {path} with {status}"));
                    }
                }
            }
        }
    }

    fn note_unserved(
        &self,
        what: String,
    ) {
        let mut record = self.record.lock().expect("record lock");
        record.unserved.push(what);
    }

    async fn result(
        &self,
        seed: u64,
    ) -> SoakResult {
        let mut record = std::mem::take(&mut *self.record.lock().expect("record lock"));
        for slot in &self.slots {
            let slot = slot.lock().await;
            note_runs(&mut record, slot.service, &slot.replica);
        }
        for (service, replica) in self.retired.lock().expect("retired lock").iter() {
            note_runs(&mut record, service, replica);
        }
        let mut statuses = BTreeMap::new();
        for attempt in &record.attempts {
            *statuses.entry(attempt.status().unwrap_or(0)).or_insert(0) += 1;
        }
        let start = record.attempts.iter().map(|attempt| attempt.sent).min();
        let since = |at: Instant| start.map_or(0.0, |start| (at - start).as_secs_f64());
        let faults = record.spans.iter().map(|span| {
            let (began, ended) = (since(span.began), since(span.ended));
            format!("{began:.1} s to {ended:.1} s: {:?}", span.fault)
        });
        let mut logs = Vec::new();
        for (router, process) in self.routers.iter().enumerate() {
            let text = process.lock().await.log_text();
            logs.push((format!("router-{router}.log"), text));
        }
        SoakResult {
            seed,
            faults: faults.collect(),
            statuses,
            broken: broken(&record),
            logs,
        }
    }
}

fn note_runs(
    record: &mut Record,
    service: &'static str,
    replica: &Replica,
) {
    for seen in replica.seen() {
        let runs = record.runs.entry(seen.id().to_owned()).or_default();
        runs.push(service);
    }
}

fn newest_path(version: u64) -> String {
    format!("/added-{version}/")
}

async fn probe(
    address: SocketAddr,
    path: &str,
) -> u16 {
    Client::ask(address, &ClientRequest::post(path, "probe", "{}"))
        .await
        .status
}
