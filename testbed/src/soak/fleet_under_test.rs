use {
    super::{
        caller_request::RequestKind,
        checks::{starved_refusals, violations},
        config_change::ConfigChange,
        drain_check::late_arrivals,
        published_config::PublishedConfig,
        record::{Arrival, ChangeSeen, Record, ReplicaSeen, StartSeen, VersionSeen},
        replica_slot::{EVENTS_PER_STREAM, ReplicaSlot},
        soak_fleet::SoakFleet,
        soak_result::SoakResult,
        version_check::stream_counts,
    },
    crate::{
        direct::{
            Client, ClientAnswer, ClientRequest, DirectFleet, Replica, Store, StorePort, zone_name,
        },
        fleet::Process,
        proxy::TcpProxy,
    },
    futures::{StreamExt, future::join_all, stream},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::Mutex,
        time::{Duration, Instant},
    },
    tokio::{sync::Mutex as AsyncMutex, time::sleep},
};

/// Time limit after the last fault until everything works again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);

/// Requests on each route to each router that must all be served after recovery.
const PROBES_PER_ROUTE: usize = 20;

/// Of these, how many are sent at once in a fleet whose streams last for at least this long.
const LONG_STREAMS_AT_ONCE: usize = 10;
const LONG_STREAM: Duration = Duration::from_millis(500);

/// How long a new configuration is awaited before it counts as never in force: longer than
/// all faults that may overlap.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Fraction of the time limit for leaving by which the harness may be late; a run in which it
/// is later is not valid.
const MAX_LATENESS_SHARE: f64 = 0.1;

/// How long a leaving replica keeps serving after the limit from which no new request may
/// reach it.
pub const EXTRA_SERVING_TIME: Duration = Duration::from_millis(1500);

/// Time between two checks of an awaited condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Part of the answer of a router that has no configuration yet.
const NO_CONFIGURATION: &str = "\"code\":25";

/// The fleet under test. Each router and each replica has at most one fault at a time.
pub struct FleetUnderTest {
    pub(super) fleet: SoakFleet,
    pub(super) store: Store,
    pub(super) ports: Vec<StorePort>,
    pub(super) routers: Vec<AsyncMutex<Process>>,
    callers: Vec<SocketAddr>, // where the routers themselves listen
    pub(super) slots: Vec<AsyncMutex<ReplicaSlot>>,
    pub record: Mutex<Record>,
    pub(super) proxies: Vec<TcpProxy>, // between callers and each router
    pub(super) cordoning: AsyncMutex<()>, // held while a zone is cordoned
    newest: Mutex<PublishedConfig>,
    retired: Mutex<Vec<RetiredReplica>>,
}

/// A replica that was replaced, with the requests that it received.
struct RetiredReplica {
    service: &'static str,
    zone: String,
    replica: Replica,
}

impl FleetUnderTest {
    /// Starts the replicas, and takes over the fleet's routers and stores.
    pub async fn start(
        plan: SoakFleet,
        fleet: &mut DirectFleet,
    ) -> Self {
        let ip = fleet.standins();
        let (mut slots, mut versions) = (Vec::new(), Vec::new());
        for (number, service) in plan.services().into_iter().enumerate() {
            let zone = zone_name(number % plan.zones);
            let slot = ReplicaSlot::start(number, service, zone, &plan, ip, &fleet.store).await;
            if service == RequestKind::Events.service() {
                versions.push(VersionSeen {
                    slot: number,
                    version: slot.replica.version(),
                    from: Instant::now(),
                });
            }
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
            cordoning: AsyncMutex::new(()),
            newest: Mutex::default(),
            record: Mutex::new(Record {
                fleet: plan.clone(),
                versions,
                ..Record::default()
            }),
            fleet: plan,
            retired: Mutex::default(),
        }
    }

    /// Addresses at which callers reach each router, through a proxy.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.proxies.iter().map(|proxy| proxy.address).collect()
    }

    /// Publishes a configuration with one more route than the previous one and this change.
    /// Returns its version.
    pub fn publish(
        &self,
        change: ConfigChange,
    ) -> u64 {
        let mut newest = self.newest.lock().expect("configuration lock");
        newest.advance(change);
        newest.publish(&self.store, self.fleet.slow_per_second);
        newest.version()
    }

    /// Records when each router has a just confirmed configuration in force.
    pub async fn follow_change(
        &self,
        version: u64,
    ) {
        let confirmed = Instant::now();
        let path = PublishedConfig::added_path(version);
        let polls = self
            .callers
            .iter()
            .enumerate()
            .map(async |(router, address)| {
                let until = confirmed + CHANGE_TIMEOUT;
                let mut served = None;
                while served.is_none() && Instant::now() < until {
                    served = is_in_force(*address, &path).await.then(Instant::now);
                    sleep(POLL_INTERVAL).await;
                }
                ChangeSeen {
                    router,
                    version,
                    confirmed,
                    served,
                }
            });
        let seen = join_all(polls).await;
        self.record
            .lock()
            .expect("record lock")
            .changes
            .extend(seen);
    }

    /// Makes the open connections of a router's callers carry nothing more.
    pub fn silence_callers(
        &self,
        router: usize,
    ) {
        self.proxies[router].stall_connections();
    }

    /// Replaces the replica of a slot, and retains the old one for the checks.
    pub async fn replace(
        &self,
        slot: &mut ReplicaSlot,
    ) {
        let replica = match self.fleet.slow_per_second {
            0 => slot.replace(&self.store).await,
            _ => {
                let gone = slot.start_successor().await;
                self.start_slowly(slot);
                gone
            }
        };
        self.retain(slot.service, slot.zone.clone(), replica);
    }

    /// Retains a replica that is gone for the checks.
    pub(super) fn retain(
        &self,
        service: &'static str,
        zone: String,
        replica: Replica,
    ) {
        let mut retired = self.retired.lock().expect("retired lock");
        retired.push(RetiredReplica {
            service,
            zone,
            replica,
        });
    }

    /// Lists a replica as one that has just started, and ends its slow start in time.
    pub fn start_slowly(
        &self,
        slot: &ReplicaSlot,
    ) {
        let from = Instant::now();
        let (revision, until) = slot.list_slow(&self.store);
        slot.replica.set_slow_until(until);
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

    /// Waits after the last fault until each router has the latest configuration in force and
    /// serves its routes; records what does not work in time.
    pub async fn await_recovery(&self) {
        let newest = self.newest.lock().expect("configuration lock").version();
        let newest = PublishedConfig::added_path(newest);
        for (router, address) in self.callers.iter().enumerate() {
            self.await_router_recovery(router, *address, &newest).await;
        }
    }

    async fn await_router_recovery(
        &self,
        router: usize,
        address: SocketAddr,
        newest: &str,
    ) {
        let until = Instant::now() + RECOVERY_LIMIT;
        while probe(address, newest).await.status != 200 {
            if Instant::now() > until {
                self.record_unserved(format!("router {router} lacks the newest route {newest}"));
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        for path in [RequestKind::Read.path(), RequestKind::Events.path()] {
            let mut answers = stream::iter(0..PROBES_PER_ROUTE)
                .map(|_| probe(address, path))
                .buffer_unordered(self.probes_at_once());
            while let Some(answer) = answers.next().await {
                if answer.status != 200 {
                    let (status, code) = (answer.status, answer.code());
                    self.record_unserved(format!(
                        "router {router} answers {path} with {status} (code {code:?})"
                    ));
                }
            }
        }
    }

    /// Streams that last long are probed several at once.
    fn probes_at_once(&self) -> usize {
        match self.fleet.event_pause * EVENTS_PER_STREAM < LONG_STREAM {
            true => 1,
            false => LONG_STREAMS_AT_ONCE,
        }
    }

    fn record_unserved(
        &self,
        what: String,
    ) {
        let mut record = self.record.lock().expect("record lock");
        record.unserved.push(what);
    }

    /// Collects what was observed and checks it against the guarantees.
    pub async fn result(
        &self,
        seed: u64,
    ) -> SoakResult {
        let mut record = std::mem::take(&mut *self.record.lock().expect("record lock"));
        for slot in &self.slots {
            let slot = slot.lock().await;
            record_replica(&mut record, slot.service, &slot.zone, &slot.replica);
        }
        for gone in self.retired.lock().expect("retired lock").iter() {
            record_replica(&mut record, gone.service, &gone.zone, &gone.replica);
        }
        let mut statuses = BTreeMap::new();
        for request in &record.requests {
            *statuses.entry(request.status().unwrap_or(0)).or_insert(0) += 1;
        }
        let start = record.requests.iter().map(|request| request.sent).min();
        let since = |at: Instant| start.map_or(0.0, |start| (at - start).as_secs_f64());
        let faults = record.spans.iter().map(|span| {
            let (began, ended) = (since(span.began), since(span.ended));
            format!("{began:.1} s to {ended:.1} s: {:?}", span.fault)
        });
        let faults = faults.collect();
        let mut logs = Vec::new();
        for (router, process) in self.routers.iter().enumerate() {
            let text = process.lock().await.log_text();
            record.add_sent_from_log(router, &text);
            logs.push((format!("router-{router}.log"), text));
        }
        let arrivals = late_arrivals(&record);
        SoakResult {
            seed,
            faults,
            statuses,
            violations: violations(&record),
            leaving: record.drains.len(),
            arrivals_in_time: arrivals.in_time,
            arrivals_excused: arrivals.excused,
            lateness: record.lateness,
            starved: record.starvation.max_wait(),
            starved_refusals: starved_refusals(&record),
            streams: stream_counts(&record),
            valid: record.lateness <= record.fleet.drain.mul_f64(MAX_LATENESS_SHARE),
            logs,
        }
    }
}

fn record_replica(
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

async fn probe(
    address: SocketAddr,
    path: &str,
) -> ClientAnswer {
    Client::call_once(address, &ClientRequest::post(path, "probe", "{}")).await
}

/// Whether a router knows the route, whatever status the request gets.
async fn is_in_force(
    address: SocketAddr,
    path: &str,
) -> bool {
    // Without a key the router answers, so that no replica delays the answer.
    let request = ClientRequest::post(path, "probe", "{}").header("Archmast-Credential", "none");
    let answer = Client::call_once(address, &request).await;
    let has_no_configuration = answer.text().contains(NO_CONFIGURATION);
    answer.status != 0 && answer.status != 404 && !has_no_configuration
}
