//! Series of changes that leave the requests of these callers allowed: versions of the
//! configuration, settings, and replicas that come and go. Callers send all the time, on
//! connections that they keep. Each whole request gets a complete answer or a complete refusal.

use {
    archmast_testbed::{
        direct::{
            Client, ClientAnswer, ClientRequest, ConfigText, DirectFleet, Framing, Replica,
            ReplicaAnswer, RouteText, event,
        },
        fleet::{Process, wait_until},
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{sync::watch, task::JoinSet, time::timeout},
};

/// How long a series takes.
const SERIES_TIME: Duration = Duration::from_secs(8);

/// Callers of each router.
const CALLERS_PER_ROUTER: usize = 20;

/// Events of a stream, and the pauses before them: streams of 0.6 and 2.4 s.
const LAST_EVENT: u32 = 12;
const EVENT_PAUSES_MS: [u64; 2] = [50, 200];

/// Time after which a caller counts a request as unanswered: longer than every route's time-out.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Bytes of a large body.
const LARGE_BODY: usize = 30 << 10;

/// Time between the registration of a draining replica and the removal of its entry.
const DRAIN_TIME: Duration = Duration::from_millis(1500);

/// Routes of the callers: path, service, kind, and whether a stream may be resumed.
const ROUTES: [(&str, &str, &str, bool); 5] = [
    ("/read/", "plain-1", "idempotent", false),
    ("/charge/", "plain-1", "non_idempotent", false),
    ("/events/", "events-1", "streaming", true),
    ("/chat/", "events-2", "streaming", false),
    ("/talk/", "events-1", "streaming", true),
];

/// A request and its end, as its caller saw it.
#[derive(Debug)]
struct Seen {
    id: String,
    path: &'static str,
    pieces: usize,   // in which the request was sent
    was_whole: bool, // all of it was sent before the connection ended
    sent: Duration,  // since the start of the series
    took: Duration,
    answer: Option<ClientAnswer>, // `None` if the caller waited in vain
}

impl Seen {
    /// What the caller got, for the summary.
    fn end(&self) -> String {
        let Some(answer) = &self.answer else {
            return "no answer in time".to_owned();
        };
        match (answer.status, answer.is_complete, answer.code()) {
            (0, _, _) if self.was_whole => "closed without an answer".to_owned(),
            (0, _, _) => "closed while half in".to_owned(),
            (status, false, _) => format!("{status} cut"),
            (200, true, _) if answer.text() != self.expected() => "200 with other bytes".to_owned(),
            (status, true, Some(code)) => format!("{status} code {code}"),
            (status, true, None) => format!("{status} whole"),
        }
    }

    fn expected(&self) -> String {
        match self.path {
            "/read/" | "/charge/" => "whole".to_owned(),
            _ => (1..=LAST_EVENT).map(event).collect(),
        }
    }

    /// Whether it is a whole answer, or a refusal that promises that the request did not run.
    fn is_allowed(&self) -> bool {
        let end = self.end();
        let status = self.answer.as_ref().map_or(0, |answer| answer.status);
        let is_refusal = matches!(status, 408 | 421 | 429 | 503) && !end.ends_with("cut");
        end == "200 whole" || is_refusal
    }
}

/// Routers, replicas of both kinds of service, and callers that send all the time.
struct Series {
    fleet: DirectFleet,
    replicas: Vec<Replica>,
    seen: Arc<Mutex<Vec<Seen>>>,
    stop: watch::Sender<bool>,
    callers: JoinSet<()>,
    began: Instant,
    random: StdRng,
}

impl Series {
    async fn start(seed: u64) -> Self {
        let fleet = DirectFleet::start(2, "hand_on = 1.0\nmost_busy = 1.0\n").await;
        let mut replicas = Vec::new();
        for number in 0..3 {
            for kind in ["p1", "p2", "e1", "e2"] {
                let id = format!("{kind}-{number}");
                let answer = answer_of(&id);
                replicas.push(fleet.start_replica(&id, &service_of(&id), answer).await);
            }
        }
        fleet
            .store
            .put_bytes("op/config", base_config(1).to_string().as_bytes());
        fleet.wait_until_ready().await;
        wait_until("all replicas are known", || {
            let known = |text: String| text.matches("upstream Ready").count() >= replicas.len();
            fleet.routers.iter().all(|router| known(router.log_text()))
        })
        .await;
        let began = Instant::now();
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let stop = watch::Sender::new(false);
        let mut callers = JoinSet::new();
        for number in 0..fleet.caller_addresses.len() * CALLERS_PER_ROUTER {
            let caller = Caller {
                number,
                address: fleet.caller_addresses[number % fleet.caller_addresses.len()],
                random: StdRng::seed_from_u64(seed ^ (number as u64 + 1) << 32),
                seen: seen.clone(),
                began,
            };
            callers.spawn(caller.run(stop.subscribe()));
        }
        Self {
            fleet,
            replicas,
            seen,
            stop,
            callers,
            began,
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn goes_on(&self) -> bool {
        self.began.elapsed() < SERIES_TIME
    }

    async fn pause(
        &mut self,
        millis: std::ops::Range<u64>,
    ) {
        let millis = self.random.random_range(millis);
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }

    /// Publishes a version each 0.1 to 0.5 s, changed from the first one by `change`.
    async fn publish(
        mut self,
        change: impl Fn(&mut Value, u64, &mut StdRng),
    ) {
        let mut version = 1;
        while self.goes_on() {
            self.pause(100..500).await;
            version += 1;
            let mut config = base_config(version);
            change(&mut config, version, &mut self.random);
            self.fleet
                .store
                .put_bytes("op/config", config.to_string().as_bytes());
        }
        let used = self.versions_used();
        assert!(used * 2 > version as usize, "{used} of {version} versions");
        self.end(&format!("{} versions", version - 1)).await;
    }

    /// Replaces a line of the settings and sends SIGHUP to one router after the other.
    async fn change_settings(
        mut self,
        lines: [&str; 2],
    ) {
        let texts: Vec<String> = self
            .fleet
            .settings
            .iter()
            .map(|path| std::fs::read_to_string(path).expect("settings"))
            .collect();
        let mut changes = 0;
        while self.goes_on() {
            self.pause(100..400).await;
            let router = changes % texts.len();
            let line = lines[(changes / texts.len()) % 2];
            let text = texts[router].replace("most_busy = 1.0\n", &format!("{line}\n"));
            std::fs::write(&self.fleet.settings[router], text).expect("settings are written");
            self.fleet.routers[router].signal_reload();
            changes += 1;
        }
        let reloads: usize = self.count_log_lines("settings in force again");
        assert!(reloads * 2 > changes, "{reloads} of {changes} settings");
        self.end(&format!("{changes} signals")).await;
    }

    /// Lists replicas, drains them and removes their entries, one after the other; each serves on
    /// until the end.
    async fn replace_replicas(
        mut self,
        says_draining: bool,
    ) {
        let mut changes = 0;
        while self.goes_on() {
            let old = changes % 12;
            let (id, address) = (self.replicas[old].id.clone(), self.replicas[old].address);
            let service = service_of(&id);
            if says_draining {
                self.fleet
                    .store
                    .list_replica(&id, &service, address, "draining");
                self.pause(100..400).await;
            }
            let store = self.fleet.store.clone();
            let leaving = id.clone();
            tokio::spawn(async move {
                if says_draining {
                    tokio::time::sleep(DRAIN_TIME).await;
                }
                store.remove_replica(&leaving);
            });
            self.pause(100..400).await;
            let new_id = format!("{}-{changes}", &id[..4]);
            let replica = self
                .fleet
                .start_replica(&new_id, &service, answer_of(&id))
                .await;
            let left = std::mem::replace(&mut self.replicas[old], replica);
            self.replicas.push(left);
            changes += 1;
        }
        self.end(&format!("{changes} replicas replaced")).await;
    }

    /// The number of versions of the configuration by which requests were answered.
    fn versions_used(&self) -> usize {
        let logs = self.fleet.routers.iter().map(Process::log_text);
        let versions = logs.flat_map(|log| {
            let lines = log.lines().filter(|line| line.contains("answer begins"));
            let lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
            let versions = lines.filter_map(|line| line["config"].as_u64());
            versions.collect::<Vec<_>>()
        });
        versions.collect::<BTreeSet<_>>().len()
    }

    fn count_log_lines(
        &self,
        text: &str,
    ) -> usize {
        let logs = self.fleet.routers.iter().map(Process::log_text);
        logs.map(|log| log.matches(text).count()).sum()
    }

    /// Ends the callers after their last answers and checks what they saw.
    async fn end(
        mut self,
        changes: &str,
    ) {
        self.stop.send_replace(true);
        std::mem::take(&mut self.callers).join_all().await;
        let seen = std::mem::take(&mut *self.seen.lock().expect("lock"));
        let mut counts: BTreeMap<(&str, String), usize> = BTreeMap::new();
        for request in &seen {
            *counts.entry((request.path, request.end())).or_default() += 1;
        }
        println!("{changes}; {} requests: {counts:#?}", seen.len());
        let broken: Vec<String> = seen
            .iter()
            .filter(|request| !request.is_allowed())
            .map(|request| self.story(request))
            .collect();
        let shown: String = broken.iter().take(5).map(String::as_str).collect();
        assert!(
            broken.is_empty(),
            "{} of {} requests got neither an answer nor a refusal:\n{shown}",
            broken.len(),
            seen.len()
        );
        assert!(counts.contains_key(&("/charge/", "200 whole".to_owned())));
        assert!(counts.contains_key(&("/chat/", "200 whole".to_owned())));
    }

    /// What its caller and the routers say of a request.
    fn story(
        &self,
        request: &Seen,
    ) -> String {
        let id = format!("\"{}\"", request.id);
        let lines: Vec<String> = self
            .fleet
            .routers
            .iter()
            .flat_map(|router| {
                let text = router.log_text();
                let lines = text.lines().filter(|line| line.contains(&id));
                lines.map(str::to_owned).collect::<Vec<_>>()
            })
            .collect();
        format!(
            "{} {} in {} pieces, sent at {:?}, {} after {:?}\n{}\n",
            request.id,
            request.path,
            request.pieces,
            request.sent,
            request.end(),
            request.took,
            lines.join("\n")
        )
    }
}

/// The service of a stand-in replica of these series, by its id.
fn service_of(id: &str) -> String {
    let kind = if id.starts_with('p') {
        "plain"
    } else {
        "events"
    };
    format!("{kind}-{}", &id[1..2])
}

fn base_config(version: u64) -> Value {
    let routes = ROUTES.map(|(prefix, service, kind, resumable)| RouteText {
        resumable,
        ..RouteText::new(prefix, service, kind)
    });
    let mut config = ConfigText::new(version, &routes).to_json();
    let mut services = config["services"].as_array().expect("a list").clone();
    services.dedup_by_key(|service| service["name"].clone());
    let template = services[0].clone();
    let names = ["plain-1", "plain-2", "events-1", "events-2"];
    let services = names.map(|name| {
        let mut service = template.clone();
        service["name"] = json!(name);
        service
    });
    config["services"] = json!(services);
    config
}

fn routes(config: &mut Value) -> &mut Vec<Value> {
    config["routes"].as_array_mut().expect("a list")
}

struct Caller {
    number: usize,
    address: SocketAddr,
    random: StdRng,
    seen: Arc<Mutex<Vec<Seen>>>,
    began: Instant,
}

impl Caller {
    async fn run(
        mut self,
        stop: watch::Receiver<bool>,
    ) {
        let mut client = None;
        let mut sent = 0;
        while !*stop.borrow() {
            let Some(connected) = client.take() else {
                client = Client::connect(self.address).await.ok();
                continue;
            };
            sent += 1;
            client = self.call(connected, sent).await;
            let rest = Duration::from_millis(self.random.random_range(0..20));
            tokio::time::sleep(rest).await;
        }
    }

    /// Sends one request, often in pieces. Returns the connection if it may be used again.
    async fn call(
        &mut self,
        mut client: Client,
        sent: usize,
    ) -> Option<Client> {
        // Plain requests are shorter than streams, and most callers' connections carry both.
        let path = match self.random.random_range(0..10) {
            0..4 => "/charge/",
            4..7 => "/read/",
            number => ROUTES[number - 5].0,
        };
        let id = format!("c{}-{sent}", self.number);
        let length = match self.random.random_range(0..4) {
            0 => LARGE_BODY,
            _ => 200,
        };
        let request = ClientRequest::post(path, &id, &"x".repeat(length));
        let bytes = request.bytes();
        let pieces = self.random.random_range(1..4);
        let began = Instant::now();
        let was_whole = self.send(&mut client, &bytes, pieces).await;
        let answer = timeout(ANSWER_TIMEOUT, client.answer()).await.ok();
        let is_kept = answer.as_ref().is_some_and(|answer| {
            answer.status != 0 && answer.is_complete && answer.header("connection") != "close"
        });
        self.seen.lock().expect("lock").push(Seen {
            id,
            path,
            pieces,
            was_whole,
            sent: began - self.began,
            took: began.elapsed(),
            answer,
        });
        (is_kept && was_whole).then_some(client)
    }

    /// Sends a request in pieces that end anywhere, with rests between them. Returns false if the
    /// connection ends before.
    async fn send(
        &mut self,
        client: &mut Client,
        bytes: &[u8],
        pieces: usize,
    ) -> bool {
        let mut from = 0;
        for piece in 1..=pieces {
            let to = match piece == pieces {
                true => bytes.len(),
                false => self
                    .random
                    .random_range(from + 1..bytes.len() - pieces + piece),
            };
            if client.send(&bytes[from..to]).await.is_err() {
                return false;
            }
            if piece < pieces {
                let rest = Duration::from_millis(self.random.random_range(0..120));
                tokio::time::sleep(rest).await;
            }
            from = to;
        }
        true
    }
}

/// What a stand-in replica of these series answers. Its id begins with the kind and number of its
/// service and its own number, as `e2-0` does.
fn answer_of(id: &str) -> ReplicaAnswer {
    let number: usize = id[3..4].parse().expect("a number");
    let service: usize = id[1..2].parse().expect("a number");
    if id.starts_with('p') {
        return ReplicaAnswer::Slow {
            body: "whole".to_owned(),
            after: Duration::from_millis(10 + 20 * number as u64),
        };
    }
    ReplicaAnswer::EventsPaced {
        framing: Framing::ALL[number],
        last: LAST_EVENT,
        pause: Duration::from_millis(EVENT_PAUSES_MS[service - 1]),
    }
}

fn move_routes(
    config: &mut Value,
    version: u64,
    _random: &mut StdRng,
) {
    for (number, route) in routes(config).iter_mut().enumerate() {
        let kind = if number < 2 { "plain" } else { "events" };
        route["service"] = json!(format!("{kind}-{}", (version + number as u64) % 2 + 1));
    }
}

fn add_and_remove_other_routes(
    config: &mut Value,
    version: u64,
    random: &mut StdRng,
) {
    let template = routes(config)[0].clone();
    for number in 0..random.random_range(0..20) {
        let mut route = template.clone();
        route["name"] = json!(format!("other-{version}-{number}"));
        route["path_prefix"] = json!(format!("/other-{version}-{number}/"));
        routes(config).push(route);
    }
    routes(config).rotate_left(version as usize % 5);
}

fn change_timeouts(
    config: &mut Value,
    _version: u64,
    random: &mut StdRng,
) {
    for route in routes(config) {
        route["timeout_ms"] = json!(random.random_range(6_000..12_000));
        route["target_latency_ms"] = json!(random.random_range(300..1_500));
    }
}

fn change_weights(
    config: &mut Value,
    _version: u64,
    random: &mut StdRng,
) {
    for (number, route) in routes(config).iter_mut().enumerate() {
        let kind = if number < 2 { "plain" } else { "events" };
        let weight = f64::from(random.random_range(0..=10)) / 10.0;
        route["traffic_split"] = json!([
            {"service": format!("{kind}-1"), "weight": weight},
            {"service": format!("{kind}-2"), "weight": 1.0 - weight},
        ]);
    }
}

fn change_accounts(
    config: &mut Value,
    version: u64,
    random: &mut StdRng,
) {
    let keys: Vec<String> = (0..random.random_range(1..30))
        .map(|number| format!("key-of-{version}-{number}"))
        .collect();
    let mut lot = keys.clone();
    lot.push("key-1".to_owned());
    let others = keys.iter().map(|key| {
        let name = format!("lot-{key}");
        json!({"name": name, "api_keys": [format!("other-{key}")]})
    });
    let mut tenants: Vec<Value> = others.collect();
    tenants.push(json!({"name": "lot", "api_keys": lot}));
    config["tenants"] = json!(tenants);
}

fn change_attempts(
    config: &mut Value,
    _version: u64,
    random: &mut StdRng,
) {
    for route in routes(config) {
        route["max_attempts"] = json!(random.random_range(1..5));
    }
    for service in config["services"].as_array_mut().expect("a list") {
        service["max_connections"] = json!(random.random_range(60..200));
    }
}

fn change_limits(
    config: &mut Value,
    _version: u64,
    random: &mut StdRng,
) {
    let limits = &mut config["limits"];
    limits["max_header_bytes"] = json!(random.random_range(4 << 10..64 << 10));
    limits["max_body_bytes"] = json!(random.random_range(LARGE_BODY..4 << 20));
    limits["header_timeout_ms"] = json!(random.random_range(1_000..5_000));
}

fn change_idle_limit(
    config: &mut Value,
    _version: u64,
    random: &mut StdRng,
) {
    config["limits"]["idle_timeout_ms"] = json!(random.random_range(4_000..15_000));
}

fn change_idle_limit_to_less_than_a_stream(
    config: &mut Value,
    _version: u64,
    random: &mut StdRng,
) {
    config["limits"]["idle_timeout_ms"] = json!(random.random_range(1_000..2_000));
}

#[tokio::test(flavor = "multi_thread")]
async fn routes_that_move_between_services_end_no_request() {
    Series::start(11).await.publish(move_routes).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn other_routes_that_come_and_go_end_no_request() {
    Series::start(12)
        .await
        .publish(add_and_remove_other_routes)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_timeouts_end_no_request() {
    Series::start(13).await.publish(change_timeouts).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_weights_end_no_request() {
    Series::start(14).await.publish(change_weights).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn accounts_and_keys_that_come_and_go_end_no_request() {
    Series::start(15).await.publish(change_accounts).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_attempts_and_connections_end_no_request() {
    Series::start(16).await.publish(change_attempts).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_that_change_while_requests_are_half_in_end_none() {
    Series::start(17).await.publish(change_limits).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_limit_longer_than_streams_ends_no_request() {
    Series::start(18).await.publish(change_idle_limit).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_limit_shorter_than_streams_ends_no_request() {
    Series::start(19)
        .await
        .publish(change_idle_limit_to_less_than_a_stream)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_these_changes_together_end_no_request() {
    let all = |config: &mut Value, version: u64, random: &mut StdRng| {
        for change in [
            move_routes,
            change_timeouts,
            change_attempts,
            change_limits,
            change_idle_limit,
            change_accounts,
            add_and_remove_other_routes,
        ] {
            if random.random_bool(0.6) {
                change(config, version, random);
            }
        }
    };
    Series::start(20).await.publish(all).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_that_change_with_a_signal_end_no_request() {
    let lines = [
        "most_busy = 1.0\n[retry]\nratio = 0.1\n[shares]\nwindow = 1500 ms\n[memory]\nlimit = 96 MB",
        "most_busy = 1.0\n[retry]\nextra = 10\n[placement]\naim_share = 0.9",
    ];
    Series::start(21).await.change_settings(lines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_that_allow_fewer_connections_than_are_open_end_no_request() {
    let lines = ["most_busy = 1.0\nmax_connections = 4", "most_busy = 1.0"];
    Series::start(22).await.change_settings(lines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_drain_and_are_removed_end_no_request() {
    Series::start(23).await.replace_replicas(true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replicas_whose_entries_go_without_notice_end_no_request() {
    Series::start(24).await.replace_replicas(false).await;
}
