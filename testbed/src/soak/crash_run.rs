use {
    super::{
        CrashRunResult, CrashScenario, HarmlessOutcome,
        crash_requests::{FATAL_PART, FATAL_PROMPT, FIRST_PHASE, fatal_request, harmless_request},
    },
    crate::direct::{
        Client, ClientAnswer, CrashTiming, DirectFleet, Framing, Replica, ReplicaAnswer, RouteText,
        event, zone_name,
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

/// How often a fatal request is sent, to a router drawn at random.
const FATAL_INTERVAL: Duration = Duration::from_millis(400);
const RARE_INTERVAL: Duration = Duration::from_secs(2);

/// How often a replica crashes by itself, in the scenario in which replicas do.
const LONE_CRASH_INTERVAL: Duration = Duration::from_millis(700);

/// Callers of each router that send harmless requests, and their delay between two, in
/// milliseconds: about 80 requests a second in all.
const CALLERS_PER_ROUTER: usize = 4;
const DELAY_MS: std::ops::Range<u64> = 150..350;

/// Time in which a replica answers a request.
const SERVICE_TIME: Duration = Duration::from_millis(50);

/// The streams with which a replica answers prompts: their events, and the pause before each.
const EVENTS: u32 = 12;
const EVENT_PAUSE: Duration = Duration::from_millis(60);

/// Time from the crash of a replica to its restart.
const RESTART_DELAY: Duration = Duration::from_secs(3);
const SHORT_RESTART_DELAY: Duration = Duration::from_secs(1);

/// How often a router is killed in the scenario that does so, and when it is started again.
const KILL_INTERVAL: Duration = Duration::from_millis(2500);
const ROUTER_DOWNTIME: Duration = Duration::from_millis(300);

/// The time from the crash after which all routers have to hold the request or part back until
/// they do, and the arrivals at replicas that are tolerated after that.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
pub const MAX_LATE_ARRIVALS: usize = 3;

/// From twice the propagation time on, the least share of harmless requests that is served.
pub const MIN_SERVED_SHARE: f64 = 0.5;

/// Time after which a caller gives up.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

/// A replica and its place in the fleet.
struct PlacedReplica {
    replica: Replica,
    number: usize,
    generation: usize,
}

/// Runs six routers in three zones with 18 replicas for `length`, while callers repeatedly
/// send a request that crashes each replica that begins to run it, or different ones with a part
/// in their prompts that does so.
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
    let stream = RouteText::new("/stream/", "s", "streaming");
    fleet.store.publish(1, &[read, fatal, stream]);
    fleet.wait_until_ready().await;
    for router in 0..fleet.caller_addresses.len() {
        fleet.wait_until_served(router, "/read/", 200).await;
    }
    let stop = watch::Sender::new(false);
    let outcomes: Outcomes = Arc::default();
    let mut work = JoinSet::new();
    let began = Instant::now();
    for (number, router) in fleet.caller_addresses.clone().into_iter().enumerate() {
        for caller in 0..CALLERS_PER_ROUTER {
            let random =
                StdRng::seed_from_u64(seed ^ ((number * CALLERS_PER_ROUTER + caller) as u64) << 32);
            let harmless = HarmlessCaller {
                scenario,
                router,
                random,
                began,
                length,
                outcomes: outcomes.clone(),
            };
            work.spawn(harmless.run(stop.subscribe()));
        }
    }
    if scenario.is_fatal() {
        let random = StdRng::seed_from_u64(seed);
        work.spawn(send_fatal(
            scenario,
            fleet.caller_addresses.clone(),
            random,
            stop.subscribe(),
        ));
    }
    let (seen, running) = replace_crashed(&mut fleet, scenario, seed, length, running).await;
    stop.send_replace(true);
    work.join_all().await;
    drop(running);
    let harmless = outcomes.lock().expect("outcomes lock").clone();
    let known_at = seen.nth_crash(scenario.crashes_until_known());
    let last_bound = known_at.or(seen.crashes.iter().max().copied());
    CrashRunResult {
        scenario,
        seed,
        crashed: seen.crashes.len(),
        arrivals: seen.arrivals.len(),
        late_arrivals: seen.late_arrivals(known_at),
        bound_from: last_bound.map(|at| at + PROPAGATION_TIME * 2),
        harmless,
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
        let fatal = seen.iter().filter(|request| {
            let prompt = request.header("archmast-prefix-hash");
            request.text().contains(FATAL_PROMPT) || prompt.contains(FATAL_PART)
        });
        self.arrivals.extend(fatal.map(|request| request.arrived));
    }

    /// When the crash with this number, from 1 on, happened.
    fn nth_crash(
        &self,
        number: usize,
    ) -> Option<Instant> {
        let mut crashes = self.crashes.clone();
        crashes.sort();
        crashes.get(number - 1).copied()
    }

    /// Arrivals after the time at which all routers had to know the request or part, given the
    /// crash that told them.
    fn late_arrivals(
        &self,
        known_at: Option<Instant>,
    ) -> usize {
        let late = self
            .arrivals
            .iter()
            .filter(|at| known_at.is_some_and(|known| **at > known + PROPAGATION_TIME));
        late.count()
    }
}

impl PlacedReplica {
    async fn start(
        fleet: &DirectFleet,
        scenario: CrashScenario,
        number: usize,
        generation: usize,
    ) -> Self {
        let default_answer = match scenario.has_prompts() {
            true => ReplicaAnswer::EventsPaced {
                framing: framing_of(number),
                last: EVENTS,
                pause: EVENT_PAUSE,
            },
            false => ReplicaAnswer::Slow {
                body: "served".to_owned(),
                after: SERVICE_TIME,
            },
        };
        let id = match scenario {
            CrashScenario::SameIds => format!("i-{number}"),
            _ => format!("i-{number}-{generation}"),
        };
        let replica = Replica::start(fleet.standins(), &id, default_answer).await;
        set_faults(&replica, scenario, number);
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

/// Makes a replica crash on what the scenario says, or close connections.
fn set_faults(
    replica: &Replica,
    scenario: CrashScenario,
    number: usize,
) {
    if scenario.closes_connections() {
        replica.close_one_in(5);
    }
    match scenario {
        // It crashes nothing at first.
        CrashScenario::PartTurnsFatal => {}
        _ if scenario.has_prompts() => make_part_fatal(replica, number),
        _ => replica.crash_on(FATAL_PROMPT),
    }
}

fn make_part_fatal(
    replica: &Replica,
    number: usize,
) {
    let framing = framing_of(number);
    replica.crash_on_with(FATAL_PART, CrashTiming::InAnswer { framing });
}

/// How the replica with this number frames its streams.
fn framing_of(number: usize) -> Framing {
    Framing::ALL[number % Framing::ALL.len()]
}

/// Restarts crashed replicas, and kills routers where the scenario does so, for `length`. Returns
/// what was seen, and the replicas that run at the end.
async fn replace_crashed(
    fleet: &mut DirectFleet,
    scenario: CrashScenario,
    seed: u64,
    length: Duration,
    mut running: Vec<PlacedReplica>,
) -> (Seen, Vec<PlacedReplica>) {
    let mut random = StdRng::seed_from_u64(seed ^ 1);
    let began = Instant::now();
    let mut seen = Seen::default();
    let mut waiting: Vec<(Instant, PlacedReplica)> = Vec::new();
    let mut kill_at = began + KILL_INTERVAL;
    let mut down: Option<(Instant, usize)> = None;
    let mut crash_at = began + LONE_CRASH_INTERVAL;
    let keeps_ids = scenario == CrashScenario::SameIds;
    let mut is_harmless = scenario == CrashScenario::PartTurnsFatal;
    while began.elapsed() < length {
        if is_harmless && began.elapsed() > length.mul_f64(FIRST_PHASE) {
            is_harmless = false;
            for placed in &running {
                make_part_fatal(&placed.replica, placed.number);
            }
        }
        if scenario == CrashScenario::CrashesAlone
            && Instant::now() >= crash_at
            && !running.is_empty()
        {
            crash_at += LONE_CRASH_INTERVAL;
            running[random.random_range(0..running.len())]
                .replica
                .crash();
        }
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
                if scenario == CrashScenario::PartTurnsFatal && !is_harmless {
                    make_part_fatal(&next.replica, next.number);
                }
                running.push(next);
            }
        }
        if scenario.kills_routers() && Instant::now() >= kill_at {
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
    (seen, running)
}

/// What became of the harmless requests.
type Outcomes = Arc<Mutex<Vec<HarmlessOutcome>>>;

/// A caller that sends harmless requests to one router, one after the other.
struct HarmlessCaller {
    scenario: CrashScenario,
    router: SocketAddr,
    random: StdRng,
    began: Instant,   // of the run
    length: Duration, // of the run
    outcomes: Outcomes,
}

impl HarmlessCaller {
    /// Sends requests until `stop` is set. Those to a router that is down are not counted, since
    /// their callers would use another router.
    async fn run(
        mut self,
        stop: watch::Receiver<bool>,
    ) {
        while !*stop.borrow() {
            if let Ok(mut client) = Client::connect(self.router).await {
                let progress = self.began.elapsed().as_secs_f64() / self.length.as_secs_f64();
                let request = harmless_request(self.scenario, &mut self.random, progress);
                let sent = Instant::now();
                let answer = timeout(ANSWER_TIMEOUT, client.call(&request)).await.ok();
                let is_success = answer.as_ref().is_some_and(ClientAnswer::is_whole_success);
                let has_all = answer.as_ref().is_some_and(|it| self.has_all_events(it));
                let outcome = HarmlessOutcome {
                    sent,
                    was_served: is_success && has_all,
                    was_truncated: is_success && !has_all,
                    was_held: answer.as_ref().is_some_and(|it| it.code() == Some(44)),
                };
                if !outcome.was_served {
                    log::debug!("harmless request not served: {answer:?}");
                }
                self.outcomes.lock().expect("outcomes lock").push(outcome);
            }
            sleep(Duration::from_millis(self.random.random_range(DELAY_MS))).await;
        }
    }
}

impl HarmlessCaller {
    /// Whether an answer has each event of its stream once; true for one that is no stream.
    fn has_all_events(
        &self,
        answer: &ClientAnswer,
    ) -> bool {
        let events: String = (1..=EVENTS).map(event).collect();
        !self.scenario.has_prompts() || answer.text() == events
    }
}

/// Sends the fatal request, or requests with the fatal part, each under a new id.
async fn send_fatal(
    scenario: CrashScenario,
    routers: Vec<SocketAddr>,
    mut random: StdRng,
    stop: watch::Receiver<bool>,
) {
    let interval = match scenario {
        CrashScenario::PartRare => RARE_INTERVAL,
        _ => FATAL_INTERVAL,
    };
    let mut sent = JoinSet::new();
    while !*stop.borrow() {
        let router = routers[random.random_range(0..routers.len())];
        let request = fatal_request(scenario, &mut random);
        sent.spawn(async move {
            let answer = timeout(ANSWER_TIMEOUT, Client::call_once(router, &request)).await;
            log::debug!("fatal request: {:?}", answer.map(|answer| answer.status));
        });
        sleep(interval).await;
    }
    sent.join_all().await;
}
