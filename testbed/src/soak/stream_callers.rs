use {
    super::{
        caller_request::{CallerRequest, RequestKind, Resumption},
        replica_slot::EVENTS_PER_STREAM,
    },
    crate::direct::{Client, ClientAnswer, ClientRequest},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{sync::watch, task::JoinSet, time::sleep},
};

/// Time that a caller has for a stream, over all its tries.
const DEADLINE: Duration = Duration::from_secs(8);

/// A caller takes no stream up with less time left.
const MIN_TIME_LEFT: Duration = Duration::from_millis(500);

/// Time without a byte after which a caller leaves.
const MAX_GAP: Duration = Duration::from_secs(2);

/// Delay before the next try where a router asks for none.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Fraction of the time left that a caller waits at most because a router asks for it.
const MAX_WAIT_SHARE: u32 = 3;

/// Combined with the seed, so that these draws are independent of the other callers.
const STREAM_CALLER_SEED: u64 = 0x57_2e_a3;

/// Callers of streams of events until `end`. They take a broken stream up at another router.
pub struct StreamCallers {
    requests: Arc<Mutex<Vec<CallerRequest>>>,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl StreamCallers {
    /// Starts `per_router` callers for each router.
    pub fn start(
        seed: u64,
        routers: &[SocketAddr],
        per_router: usize,
    ) -> Self {
        let requests = Arc::new(Mutex::new(Vec::new()));
        let stop = watch::Sender::new(false);
        let mut tasks = JoinSet::new();
        for number in 0..routers.len() * per_router {
            let caller = StreamCaller {
                number,
                routers: routers.to_owned(),
                random: StdRng::seed_from_u64(seed ^ STREAM_CALLER_SEED ^ (number as u64) << 32),
                requests: requests.clone(),
            };
            tasks.spawn(caller.run(stop.subscribe()));
        }
        Self {
            requests,
            stop,
            tasks,
        }
    }

    /// Stops the callers after their last streams, and returns all their requests.
    pub async fn end(self) -> Vec<CallerRequest> {
        self.stop.send_replace(true);
        self.tasks.join_all().await;
        std::mem::take(&mut *self.requests.lock().expect("requests lock"))
    }
}

struct StreamCaller {
    number: usize,
    routers: Vec<SocketAddr>,
    random: StdRng,
    requests: Arc<Mutex<Vec<CallerRequest>>>,
}

impl StreamCaller {
    async fn run(
        mut self,
        stop: watch::Receiver<bool>,
    ) {
        let mut streams = 0u64;
        while !*stop.borrow() {
            streams += 1;
            self.read_stream(streams).await;
            let delay_ms = self.random.random_range(2..20);
            sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Reads one stream, with as many tries as its deadline allows.
    async fn read_stream(
        &mut self,
        stream: u64,
    ) {
        let until = Instant::now() + DEADLINE;
        let mut router = self.random.random_range(0..self.routers.len());
        let mut resumes: Option<Resumption> = None;
        for number in 0.. {
            let time_left = until.saturating_duration_since(Instant::now());
            if time_left < MIN_TIME_LEFT {
                return;
            }
            let id = format!("t{}-{stream}-{number}", self.number);
            let tried = self.send(router, &id, resumes.clone(), time_left).await;
            let last = tried.pieces().last().map(|piece| piece.number);
            let stream = tried.stream().to_owned();
            let answer = tried.answer.clone();
            self.requests.lock().expect("requests lock").push(tried);
            if let Some(last_event) = last {
                resumes = Some(Resumption { stream, last_event });
            }
            if last == Some(EVENTS_PER_STREAM) {
                return;
            }
            let asked_delay = answer.as_ref().and_then(ClientAnswer::retry_after);
            sleep(
                asked_delay
                    .unwrap_or(RETRY_DELAY)
                    .min(time_left / MAX_WAIT_SHARE),
            )
            .await;
            router = self.other_router(router);
        }
    }

    fn other_router(
        &mut self,
        router: usize,
    ) -> usize {
        let routers = self.routers.len();
        match routers {
            1 => router,
            _ => (router + self.random.random_range(1..routers)) % routers,
        }
    }

    async fn send(
        &self,
        router: usize,
        id: &str,
        resumes: Option<Resumption>,
        time_left: Duration,
    ) -> CallerRequest {
        let kind = RequestKind::Events;
        let mut request = ClientRequest::post(kind.path(), id, "{}")
            .header("Archmast-Deadline-Ms", &time_left.as_millis().to_string());
        if let Some(resumed) = &resumes {
            request = request
                .header("Last-Event-Id", &resumed.last_event.to_string())
                .header("Resumes", &resumed.stream);
        }
        let sent = Instant::now();
        let answer = match Client::connect(self.routers[router]).await {
            Ok(mut client) => {
                client.give_up_after(MAX_GAP);
                Some(client.call(&request).await)
            }
            Err(_) => None,
        };
        CallerRequest {
            id: id.to_owned(),
            kind,
            resumes,
            router,
            sent,
            deadline: time_left.min(MAX_GAP),
            ended: Instant::now(),
            answer,
        }
    }
}
