use {
    super::{
        attempt::Kind,
        checks::{broken, starved_refusals},
        drain_check::late_arrivals,
        record::{Arrival, ChangeSeen, Record, ReplicaSeen, StartSeen},
        replica_slot::ReplicaSlot,
        soak_fleet::SoakFleet,
        soak_result::SoakResult,
    },
    crate::{
        direct::{
            Client, ClientRequest, DirectFleet, Replica, RouteText, Store, StorePort, zone_name,
        },
        fleet::Process,
        proxy::TcpProxy,
    },
    futures::future::join_all,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::Mutex,
        time::{Duration, Instant},
    },
    tokio::{sync::Mutex as AsyncMutex, time::sleep},
};

/// When all is well again, everything must work within this time.
const RECOVERY: Duration = Duration::from_secs(10);

/// Requests to each router that must then be served, all of them.
const PROBES: usize = 20;

/// How long a change is followed before it counts as never served: longer than all
/// faults that may overlap.
const FOLLOWED: Duration = Duration::from_secs(20);

/// The part of the time for leaving by which the harness may be late itself; a run in
/// which it is later proves nothing.
const LATENESS_PART: f64 = 0.1;

/// So much longer than it must get nothing new a leaving replica serves on.
pub const SERVES_ON: Duration = Duration::from_millis(1500);

/// Between two looks at something that is waited for.
pub const LOOK: Duration = Duration::from_millis(20);

/// In the answer of a router that has no configuration yet.
const NO_CONFIGURATION: &str = "\"code\":25";

/// The fleet under test. Each router and each replica has one fault at a time.
pub struct World {
    pub(super) fleet: SoakFleet,
    pub(super) store: Store,
    pub(super) ports: Vec<StorePort>,
    pub(super) routers: Vec<AsyncMutex<Process>>,
    callers: Vec<SocketAddr>, // of the routers themselves
    pub(super) slots: Vec<AsyncMutex<ReplicaSlot>>,
    pub record: Mutex<Record>,
    proxies: Vec<TcpProxy>,              // between callers and each router
    pub(super) emptying: AsyncMutex<()>, // held while a zone is emptied
    newest: Mutex<u64>,                  // version of the configuration
    retired: Mutex<Vec<RetiredReplica>>,
}

/// A replica that is gone, with what it saw.
struct RetiredReplica {
    service: &'static str,
    zone: String,
    replica: Replica,
}

impl World {
    /// Starts the replicas, and takes the fleet's routers and stores over.
    pub async fn start(
        plan: SoakFleet,
        fleet: &mut DirectFleet,
    ) -> Self {
        let ip = fleet.standins();
        let mut slots = Vec::new();
        for (number, service) in plan.services().into_iter().enumerate() {
            let zone = zone_name(number % plan.zones);
            let slot = ReplicaSlot::start(number, service, zone, ip, &fleet.store).await;
            slots.push(AsyncMutex::new(slot));
        }
        let routers = std::mem::take(&mut fleet.routers);
        let mut proxies = Vec::new();
        for router in &fleet.caller_addresses {
            proxies.push(TcpProxy::start(ip, *router).await.expect("a free port"));
        }
        Self {
            store: fleet.store.clone(),
            ports: std::mem::take(&mut fleet.store_ports),
            callers: fleet.caller_addresses.clone(),
            routers: routers.into_iter().map(AsyncMutex::new).collect(),
            slots,
            proxies,
            emptying: AsyncMutex::new(()),
            newest: Mutex::default(),
            record: Mutex::new(Record {
                fleet: plan.clone(),
                ..Record::default()
            }),
            fleet: plan,
            retired: Mutex::default(),
        }
    }

    /// Where callers reach each router.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.proxies.iter().map(|proxy| proxy.address).collect()
    }

    /// Publishes a configuration with one more route than the last, and gives its
    /// version.
    pub fn publish(&self) -> u64 {
        let mut newest = self.newest.lock().expect("version lock");
        *newest += 1;
        let version = *newest;
        let mut routes = vec![
            RouteText::new(Kind::Read.path(), "plain", "idempotent"),
            RouteText::new(Kind::Charge.path(), "plain", "non_idempotent"),
            RouteText::new(Kind::Events.path(), "events", "streaming"),
        ];
        for added in 1..=version {
            let prefix: &'static str = Box::leak(newest_path(added).into_boxed_str());
            routes.push(RouteText::new(prefix, "plain", "idempotent"));
        }
        match self.fleet.slow_per_second {
            0 => self.store.publish(version, &routes),
            bears => self
                .store
                .publish_slow_starts(version, &routes, bears as f64),
        }
        version
    }

    /// Notes when each router has a version in force that was just confirmed.
    pub async fn follow_change(
        &self,
        version: u64,
    ) {
        let confirmed = Instant::now();
        let path = newest_path(version);
        let looks = self
            .callers
            .iter()
            .enumerate()
            .map(async |(router, address)| {
                let until = confirmed + FOLLOWED;
                let mut served = None;
                while served.is_none() && Instant::now() < until {
                    served = is_in_force(*address, &path).await.then(Instant::now);
                    sleep(LOOK).await;
                }
                ChangeSeen {
                    router,
                    version,
                    confirmed,
                    served,
                }
            });
        let seen = join_all(looks).await;
        self.record
            .lock()
            .expect("record lock")
            .changes
            .extend(seen);
    }

    /// The open connections of a router's callers fall silent.
    pub fn silence_callers(
        &self,
        router: usize,
    ) {
        self.proxies[router].stall_connections();
    }

    /// A replica is gone; another takes its place.
    pub async fn replace(
        &self,
        slot: &mut ReplicaSlot,
    ) {
        let replica = match self.fleet.slow_per_second {
            0 => slot.replace(&self.store).await,
            _ => {
                let gone = slot.start_another().await;
                self.start_slowly(slot);
                gone
            }
        };
        let mut retired = self.retired.lock().expect("retired lock");
        retired.push(RetiredReplica {
            service: slot.service,
            zone: slot.zone.clone(),
            replica,
        });
    }

    /// Lists a replica as one that has just started.
    pub fn start_slowly(
        &self,
        slot: &ReplicaSlot,
    ) {
        let from = Instant::now();
        let (revision, until) = slot.list_slow(&self.store);
        let replica = slot.replica.id.clone();
        let start = StartSeen {
            replica: replica.clone(),
            from,
            until,
        };
        self.record.lock().expect("record lock").starts.push(start);
        let store = self.store.clone();
        tokio::spawn(async move {
            sleep(until.saturating_duration_since(Instant::now())).await;
            store.end_slow_start(&replica, revision);
        });
    }

    /// When nothing is wrong any more: each router has the newest configuration
    /// in force, and serves whatever comes.
    pub async fn recover(&self) {
        let newest = newest_path(*self.newest.lock().expect("version lock"));
        for (router, address) in self.callers.iter().enumerate() {
            self.recovered(router, *address, &newest).await;
        }
    }

    async fn recovered(
        &self,
        router: usize,
        address: SocketAddr,
        newest: &str,
    ) {
        let until = Instant::now() + RECOVERY;
        while probe(address, newest).await != 200 {
            if Instant::now() > until {
                self.note_unserved(format!("router {router} lacks the newest route {newest}"));
                break;
            }
            sleep(LOOK).await;
        }
        for path in [Kind::Read.path(), Kind::Events.path()] {
            for _ in 0..PROBES {
                let status = probe(address, path).await;
                if status != 200 {
                    self.note_unserved(format!("router {router} answers {path} with {status}"));
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

    /// What was seen, held against the promises.
    pub async fn result(
        &self,
        seed: u64,
    ) -> SoakResult {
        let mut record = std::mem::take(&mut *self.record.lock().expect("record lock"));
        for slot in &self.slots {
            let slot = slot.lock().await;
            note_runs(&mut record, slot.service, &slot.zone, &slot.replica);
        }
        for gone in self.retired.lock().expect("retired lock").iter() {
            note_runs(&mut record, gone.service, &gone.zone, &gone.replica);
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
        let faults = faults.collect();
        let mut logs = Vec::new();
        for (router, process) in self.routers.iter().enumerate() {
            let text = process.lock().await.log_text();
            record.read_sent(router, &text);
            logs.push((format!("router-{router}.log"), text));
        }
        let arrivals = late_arrivals(&record);
        SoakResult {
            seed,
            faults,
            statuses,
            broken: broken(&record),
            leaving: record.drains.len(),
            arrivals_in_time: arrivals.in_time,
            arrivals_excused: arrivals.excused,
            lateness: record.lateness,
            starved: record.starvation.most(),
            starved_refusals: starved_refusals(&record),
            valid: record.lateness <= record.fleet.drain.mul_f64(LATENESS_PART),
            logs,
        }
    }
}

fn note_runs(
    record: &mut Record,
    service: &'static str,
    zone: &str,
    replica: &Replica,
) {
    let seen = replica.received();
    let arrivals = seen.iter().map(Arrival::of);
    record.replicas.push(ReplicaSeen {
        id: replica.id.clone(),
        zone: zone.to_owned(),
        arrivals: arrivals.collect(),
    });
    for seen in seen.iter().filter(|seen| seen.was_run) {
        let runs = record.runs.entry(seen.attempt_id().to_owned()).or_default();
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
    Client::call_once(address, &ClientRequest::post(path, "probe", "{}"))
        .await
        .status
}

/// Whether a router knows a route, whatever becomes of the request.
async fn is_in_force(
    address: SocketAddr,
    path: &str,
) -> bool {
    let answer = Client::call_once(address, &ClientRequest::post(path, "probe", "{}")).await;
    let knows_nothing = answer.text().contains(NO_CONFIGURATION);
    answer.status != 0 && answer.status != 404 && !knows_nothing
}
