use {
    super::{CrashRunResult, CrashScenario},
    crate::direct::{
        Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText, zone_name,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Number of routers in each zone, and of replicas in all.
const ROUTERS_PER_ZONE: [usize; 3] = [2, 2, 2];
const REPLICAS: usize = 18;

/// Body of the request that crashes each replica that begins to run it, and how often it is
/// sent, to a router drawn at random.
const FATAL_PROMPT: &str = "a prompt that no engine survives";
const FATAL_INTERVAL: Duration = Duration::from_millis(400);

/// Callers of each router that send harmless requests, and their delay between two, in
/// milliseconds: about 80 requests a second in all.
const CALLERS_PER_ROUTER: usize = 4;
const DELAY_MS: std::ops::Range<u64> = 150..350;

/// Time in which a replica answers a request.
const SERVICE_TIME: Duration = Duration::from_millis(50);

/// Time from the crash of a replica to its restart.
const RESTART_DELAY: Duration = Duration::from_secs(3);
const SHORT_RESTART_DELAY: Duration = Duration::from_secs(1);

/// How often a router is killed in the scenario that does so, and when it is started again.
const KILL_INTERVAL: Duration = Duration::from_millis(2500);
const ROUTER_DOWNTIME: Duration = Duration::from_millis(300);

/// Crashes after which all routers have to hold the fatal request back, the time until they
/// all do, and the arrivals at replicas that are tolerated after that.
const CRASHES_UNTIL_KNOWN: usize = 3;
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
pub const MAX_LATE_ARRIVALS: usize = 3;

/// Time after which a caller gives up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// A replica and its place in the fleet.
struct PlacedReplica {
    replica: Replica,
    number: usize,
    generation: usize,
}

/// Runs six routers in three zones with 18 replicas for `length`, while callers repeatedly
/// send a request that crashes each replica that begins to run it.
pub async fn crash_run(
    scenario: CrashScenario,
    seed: u64,
    length: Duration,
) -> CrashRunResult {
    let mut fleet = DirectFleet::start_in_zones(&ROUTERS_PER_ZONE, "").await;
    let mut running = Vec::new();
    for number in 0..REPLICAS {
        running.push(PlacedReplica::start(&fleet, scenario, number, 0).await);
    }
    let read = RouteText {
        attempts: 3,
        ..RouteText::new("/read/", "s", "idempotent")
    };
    let fatal = RouteText {
        attempts: 1,
        ..RouteText::new("/fatal/", "s", "idempotent")
    };
    fleet.store.publish(1, &[read, fatal]);
    fleet.wait_until_ready().await;
    for router in 0..fleet.caller_addresses.len() {
        fleet.wait_until_served(router, "/read/", 200).await;
    }
    let stop = watch::Sender::new(false);
    let counts: Arc<Mutex<HarmlessCounts>> = Arc::default();
    let mut work = JoinSet::new();
    for (number, router) in fleet.caller_addresses.clone().into_iter().enumerate() {
        for caller in 0..CALLERS_PER_ROUTER {
            let random =
                StdRng::seed_from_u64(seed ^ ((number * CALLERS_PER_ROUTER + caller) as u64) << 32);
            let harmless =
                send_harmless(scenario, router, random, stop.subscribe(), counts.clone());
            work.spawn(harmless);
        }
    }
    if scenario != CrashScenario::CutOff {
        let random = StdRng::seed_from_u64(seed);
        work.spawn(send_fatal(
            fleet.caller_addresses.clone(),
            random,
            stop.subscribe(),
        ));
    }
    let seen = replace_crashed(&mut fleet, scenario, seed, length, running).await;
    stop.send_replace(true);
    work.join_all().await;
    let counts = counts.lock().expect("counts lock").clone();
    CrashRunResult {
        scenario,
        seed,
        crashed: seen.crashes.len(),
        late_arrivals: seen.late_arrivals(),
        harmless: counts.sent,
        served: counts.served,
        held_back: counts.held_back,
    }
}

/// When replicas crashed, and when the fatal request reached a replica.
#[derive(Default)]
struct Seen {
    crashes: Vec<Instant>,
    arrivals: Vec<Instant>,
}

impl Seen {
    fn record(
        &mut self,
        replica: &Replica,
    ) {
        let seen = replica.received();
        let fatal = seen
            .iter()
            .filter(|request| request.text().contains(FATAL_PROMPT));
        self.arrivals.extend(fatal.map(|request| request.arrived));
    }

    /// Arrivals after the time at which all routers had to know the request.
    fn late_arrivals(&self) -> usize {
        let mut crashes = self.crashes.clone();
        crashes.sort();
        let Some(third) = crashes.get(CRASHES_UNTIL_KNOWN - 1) else {
            return 0;
        };
        let late_arrivals = self
            .arrivals
            .iter()
            .filter(|at| **at > *third + PROPAGATION_TIME);
        late_arrivals.count()
    }
}

impl PlacedReplica {
    async fn start(
        fleet: &DirectFleet,
        scenario: CrashScenario,
        number: usize,
        generation: usize,
    ) -> Self {
        let default_answer = ReplicaAnswer::Slow {
            body: "served".to_owned(),
            after: SERVICE_TIME,
        };
        let id = match scenario {
            CrashScenario::SameIds => format!("i-{number}"),
            _ => format!("i-{number}-{generation}"),
        };
        let replica = Replica::start(fleet.standins(), &id, default_answer).await;
        replica.crash_on(FATAL_PROMPT);
        if scenario == CrashScenario::CutOff {
            replica.close_one_in(5);
        }
        let zone = zone_name(number % ROUTERS_PER_ZONE.len());
        let start_number = generation as u64 + 1;
        fleet
            .store
            .list_replica_start(&zone, &id, start_number, "s", replica.address);
        Self {
            replica,
            number,
            generation,
        }
    }
}

/// Restarts crashed replicas, and kills routers where the scenario does so, for `length`.
async fn replace_crashed(
    fleet: &mut DirectFleet,
    scenario: CrashScenario,
    seed: u64,
    length: Duration,
    mut running: Vec<PlacedReplica>,
) -> Seen {
    let mut random = StdRng::seed_from_u64(seed ^ 1);
    let began = Instant::now();
    let mut seen = Seen::default();
    let mut waiting: Vec<(Instant, PlacedReplica)> = Vec::new();
    let mut kill_at = began + KILL_INTERVAL;
    let mut down: Option<(Instant, usize)> = None;
    let keeps_ids = scenario == CrashScenario::SameIds;
    while began.elapsed() < length {
        for index in (0..running.len()).rev() {
            if running[index].replica.has_exited() {
                let now = Instant::now();
                seen.crashes.push(now);
                waiting.push((now, running.remove(index)));
            }
        }
        let restart_delay = if keeps_ids {
            SHORT_RESTART_DELAY
        } else {
            RESTART_DELAY
        };
        for index in (0..waiting.len()).rev() {
            if waiting[index].0.elapsed() >= restart_delay {
                let (_, crashed) = waiting.remove(index);
                seen.record(&crashed.replica);
                if !keeps_ids {
                    fleet.store.remove_replica(&crashed.replica.id);
                }
                let next =
                    PlacedReplica::start(fleet, scenario, crashed.number, crashed.generation + 1)
                        .await;
                running.push(next);
            }
        }
        if scenario == CrashScenario::RoutersKilled && Instant::now() >= kill_at {
            kill_at += KILL_INTERVAL;
            let router = random.random_range(0..fleet.routers.len());
            fleet.routers[router].kill();
            down = Some((Instant::now(), router));
        }
        if let Some((at, router)) = down.filter(|(at, _)| at.elapsed() >= ROUTER_DOWNTIME) {
            log::debug!("router {router} is back after {:?}", at.elapsed());
            fleet.routers[router].restart().expect("it starts again");
            down = None;
        }
        sleep(Duration::from_millis(5)).await;
    }
    let crashed = waiting.iter().map(|(_, crashed)| crashed);
    for placed in running.iter().chain(crashed) {
        seen.record(&placed.replica);
    }
    seen
}

#[derive(Debug, Default, Clone)]
struct HarmlessCounts {
    sent: usize,
    served: usize,
    held_back: usize, // answered with result code 44
}

/// Sends harmless requests until `stop` is set. Requests to a router that is down are not
/// counted, since their callers would use another router.
async fn send_harmless(
    scenario: CrashScenario,
    router: SocketAddr,
    mut random: StdRng,
    stop: watch::Receiver<bool>,
    counts: Arc<Mutex<HarmlessCounts>>,
) {
    while !*stop.borrow() {
        let body = match scenario {
            CrashScenario::OneRequest => "the same prompt".to_owned(),
            _ => format!("prompt {:016x}", random.random::<u64>()),
        };
        if let Ok(mut client) = Client::connect(router).await {
            let id = format!("{:016x}", random.random::<u64>());
            let request = ClientRequest::post("/read/", &id, &body);
            let answer = timeout(ANSWER_TIMEOUT, client.call(&request)).await;
            let mut counts = counts.lock().expect("counts lock");
            counts.sent += 1;
            if let Ok(answer) = answer {
                counts.served += usize::from(answer.status == 200);
                counts.held_back += usize::from(answer.code() == Some(44));
            }
        }
        sleep(Duration::from_millis(random.random_range(DELAY_MS))).await;
    }
}

/// Sends the fatal request repeatedly, each time under a new id.
async fn send_fatal(
    routers: Vec<SocketAddr>,
    mut random: StdRng,
    stop: watch::Receiver<bool>,
) {
    let mut sent = JoinSet::new();
    while !*stop.borrow() {
        let router = routers[random.random_range(0..routers.len())];
        let id = format!("{:016x}", random.random::<u64>());
        sent.spawn(async move {
            let request = ClientRequest::post("/fatal/", &id, FATAL_PROMPT);
            let answer = timeout(ANSWER_TIMEOUT, Client::call_once(router, &request)).await;
            log::debug!("{id}: {:?}", answer.map(|answer| answer.status));
        });
        sleep(FATAL_INTERVAL).await;
    }
    sent.join_all().await;
}
