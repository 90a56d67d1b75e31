use {
    super::{EndingKind, EndingResult},
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

/// Routers of each zone, and replicas in all.
const ZONES: [usize; 3] = [2, 2, 2];
const REPLICAS: usize = 18;

/// The request that ends each replica that begins to run it, and how often it comes, at a
/// router drawn at random.
const FATAL: &str = "a prompt that no engine survives";
const FATAL_EVERY: Duration = Duration::from_millis(400);

/// Callers of each router that send harmless requests, and their pause between two, in
/// milliseconds: some 80 a second in all.
const CALLERS: usize = 4;
const PAUSE_MS: std::ops::Range<u64> = 150..350;

/// How long a replica works on a request.
const WORK: Duration = Duration::from_millis(50);

/// How long a replica is away after it ended.
const AWAY: Duration = Duration::from_secs(3);
const AWAY_BRIEFLY: Duration = Duration::from_secs(1);

/// A router is killed this often, where the run says so, and started again after this.
const KILL_EVERY: Duration = Duration::from_millis(2500);
const DOWN: Duration = Duration::from_millis(300);

/// Ends after which all routers are to know the request, the time that they have for it,
/// and the sends that may come later than that.
const KNOWN_AFTER: usize = 3;
const CONTACT: Duration = Duration::from_secs(3);
pub const MOST_LATE: usize = 3;

/// How long a caller waits.
const GIVES_UP: Duration = Duration::from_secs(6);

/// The replicas that run, and what those that ended had seen.
struct Place {
    replica: Replica,
    number: usize,
    lives: usize,
}

/// Runs six routers in three zones before 18 replicas for `length`, while a request comes
/// again and again that ends each replica that begins to run it.
pub async fn ending_run(
    kind: EndingKind,
    seed: u64,
    length: Duration,
) -> EndingResult {
    let mut fleet = DirectFleet::start_in_zones(&ZONES, "").await;
    let mut places = Vec::new();
    for number in 0..REPLICAS {
        places.push(Place::start(&fleet, kind, number, 0).await);
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
    let tally: Arc<Mutex<Tally>> = Arc::default();
    let mut work = JoinSet::new();
    for (number, router) in fleet.caller_addresses.clone().into_iter().enumerate() {
        for caller in 0..CALLERS {
            let random = StdRng::seed_from_u64(seed ^ ((number * CALLERS + caller) as u64) << 32);
            let harmless = harmless(kind, router, random, stop.subscribe(), tally.clone());
            work.spawn(harmless);
        }
    }
    if kind != EndingKind::CutOff {
        let random = StdRng::seed_from_u64(seed);
        work.spawn(fatal_again(
            fleet.caller_addresses.clone(),
            random,
            stop.subscribe(),
        ));
    }
    let seen = play(&mut fleet, kind, seed, length, places).await;
    stop.send_replace(true);
    work.join_all().await;
    let tally = tally.lock().expect("tally lock").clone();
    EndingResult {
        kind,
        seed,
        ended: seen.ends.len(),
        late: seen.late(),
        harmless: tally.sent,
        served: tally.served,
        held: tally.held,
    }
}

/// When replicas ended, and when the request reached one.
#[derive(Default)]
struct Seen {
    ends: Vec<Instant>,
    arrivals: Vec<Instant>,
}

impl Seen {
    fn note(
        &mut self,
        replica: &Replica,
    ) {
        let seen = replica.received();
        let fatal = seen.iter().filter(|request| request.text().contains(FATAL));
        self.arrivals.extend(fatal.map(|request| request.arrived));
    }

    /// Sends that came later than all routers had to know.
    fn late(&self) -> usize {
        let mut ends = self.ends.clone();
        ends.sort();
        let Some(third) = ends.get(KNOWN_AFTER - 1) else {
            return 0;
        };
        let late = self.arrivals.iter().filter(|at| **at > *third + CONTACT);
        late.count()
    }
}

impl Place {
    async fn start(
        fleet: &DirectFleet,
        kind: EndingKind,
        number: usize,
        lives: usize,
    ) -> Self {
        let usual = ReplicaAnswer::Slow {
            body: "served".to_owned(),
            after: WORK,
        };
        let id = match kind {
            EndingKind::SameIds => format!("i-{number}"),
            _ => format!("i-{number}-{lives}"),
        };
        let replica = Replica::start(fleet.standins(), &id, usual).await;
        replica.crash_on(FATAL);
        if kind == EndingKind::CutOff {
            replica.close_one_in(5);
        }
        let zone = zone_name(number % ZONES.len());
        let born = lives as u64 + 1;
        fleet
            .store
            .list_replica_start(&zone, &id, born, "s", replica.address);
        Self {
            replica,
            number,
            lives,
        }
    }
}

/// Starts replicas again that ended, and kills routers where the run says so.
async fn play(
    fleet: &mut DirectFleet,
    kind: EndingKind,
    seed: u64,
    length: Duration,
    mut places: Vec<Place>,
) -> Seen {
    let mut random = StdRng::seed_from_u64(seed ^ 1);
    let began = Instant::now();
    let mut seen = Seen::default();
    let mut away: Vec<(Instant, Place)> = Vec::new();
    let mut kill_at = began + KILL_EVERY;
    let mut down: Option<(Instant, usize)> = None;
    let briefly = kind == EndingKind::SameIds;
    while began.elapsed() < length {
        for index in (0..places.len()).rev() {
            if places[index].replica.has_exited() {
                let now = Instant::now();
                seen.ends.push(now);
                away.push((now, places.remove(index)));
            }
        }
        let time = if briefly { AWAY_BRIEFLY } else { AWAY };
        for index in (0..away.len()).rev() {
            if away[index].0.elapsed() >= time {
                let (_, place) = away.remove(index);
                seen.note(&place.replica);
                if !briefly {
                    fleet.store.remove_replica(&place.replica.id);
                }
                let next = Place::start(fleet, kind, place.number, place.lives + 1).await;
                places.push(next);
            }
        }
        if kind == EndingKind::RoutersKilled && Instant::now() >= kill_at {
            kill_at += KILL_EVERY;
            let router = random.random_range(0..fleet.routers.len());
            fleet.routers[router].kill();
            down = Some((Instant::now(), router));
        }
        if let Some((at, router)) = down.filter(|(at, _)| at.elapsed() >= DOWN) {
            log::debug!("router {router} is back after {:?}", at.elapsed());
            fleet.routers[router].restart().expect("it starts again");
            down = None;
        }
        sleep(Duration::from_millis(5)).await;
    }
    let gone = away.iter().map(|(_, place)| place);
    for place in places.iter().chain(gone) {
        seen.note(&place.replica);
    }
    seen
}

#[derive(Debug, Default, Clone)]
struct Tally {
    sent: usize,
    served: usize,
    held: usize,
}

/// Sends harmless requests until told to stop. A router that is down is not counted: its
/// callers would go elsewhere.
async fn harmless(
    kind: EndingKind,
    router: SocketAddr,
    mut random: StdRng,
    stop: watch::Receiver<bool>,
    tally: Arc<Mutex<Tally>>,
) {
    while !*stop.borrow() {
        let body = match kind {
            EndingKind::OneRequest => "the same prompt".to_owned(),
            _ => format!("prompt {:016x}", random.random::<u64>()),
        };
        if let Ok(mut client) = Client::connect(router).await {
            let id = format!("{:016x}", random.random::<u64>());
            let request = ClientRequest::post("/read/", &id, &body);
            let answer = timeout(GIVES_UP, client.call(&request)).await;
            let mut tally = tally.lock().expect("tally lock");
            tally.sent += 1;
            if let Ok(answer) = answer {
                tally.served += usize::from(answer.status == 200);
                tally.held += usize::from(answer.code() == Some(44));
            }
        }
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
    }
}

/// Sends the request that ends replicas again and again, each time under another id.
async fn fatal_again(
    routers: Vec<SocketAddr>,
    mut random: StdRng,
    stop: watch::Receiver<bool>,
) {
    let mut sent = JoinSet::new();
    while !*stop.borrow() {
        let router = routers[random.random_range(0..routers.len())];
        let id = format!("{:016x}", random.random::<u64>());
        sent.spawn(async move {
            let request = ClientRequest::post("/fatal/", &id, FATAL);
            let answer = timeout(GIVES_UP, Client::call_once(router, &request)).await;
            log::debug!("{id}: {:?}", answer.map(|answer| answer.status));
        });
        sleep(FATAL_EVERY).await;
    }
    sent.join_all().await;
}
