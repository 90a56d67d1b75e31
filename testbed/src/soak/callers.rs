use {
    super::caller_request::{CallerRequest, RequestKind},
    crate::direct::{Client, ClientAnswer, ClientRequest},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{sync::watch, task::JoinSet, time::timeout},
};

/// Deadline that a caller states in its request, and the time after which it gives up.
const DEADLINE: Duration = Duration::from_secs(4);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Delay of a caller whose connection was refused.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Callers that send one request after the other until `end`.
pub struct Callers {
    requests: Arc<Mutex<Vec<CallerRequest>>>,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Callers {
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
            let router = number % routers.len();
            let caller = Caller {
                number,
                router,
                address: routers[router],
                random: StdRng::seed_from_u64(seed ^ (number as u64) << 32),
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

    /// Stops the callers after their last answers, and returns all their requests.
    pub async fn end(self) -> Vec<CallerRequest> {
        self.stop.send_replace(true);
        self.tasks.join_all().await;
        std::mem::take(&mut *self.requests.lock().expect("requests lock"))
    }
}

struct Caller {
    number: usize,
    router: usize,
    address: SocketAddr,
    random: StdRng,
    requests: Arc<Mutex<Vec<CallerRequest>>>,
}

impl Caller {
    async fn run(
        mut self,
        stop: watch::Receiver<bool>,
    ) {
        let mut client = None;
        let mut sent = 0u64;
        while !*stop.borrow() {
            let Some(connected) = client.take() else {
                client = Client::connect(self.address).await.ok();
                if client.is_none() {
                    tokio::time::sleep(RECONNECT_DELAY).await;
                }
                continue;
            };
            sent += 1;
            client = self.call(connected, sent).await;
            let delay_ms = self.random.random_range(2..20);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Sends one request. Returns the connection if it can be reused.
    async fn call(
        &mut self,
        mut client: Client,
        sent: u64,
    ) -> Option<Client> {
        let kind = match self.random.random_range(0..10) {
            0..4 => RequestKind::Read,
            4..8 => RequestKind::Charge,
            _ => RequestKind::Events,
        };
        let id = format!("c{}-{sent}", self.number);
        let deadline_ms = DEADLINE.as_millis().to_string();
        let request = ClientRequest::post(kind.path(), &id, "{}")
            .header("Archmast-Deadline-Ms", &deadline_ms);
        let began = Instant::now();
        let answer = timeout(ANSWER_TIMEOUT, client.call(&request)).await.ok();
        let is_reusable = answer.as_ref().is_some_and(allows_reuse);
        let request = CallerRequest {
            id,
            kind,
            resumes: None,
            router: self.router,
            sent: began,
            deadline: DEADLINE,
            ended: Instant::now(),
            answer,
        };
        self.requests.lock().expect("requests lock").push(request);
        is_reusable.then_some(client)
    }
}

fn allows_reuse(answer: &ClientAnswer) -> bool {
    answer.status != 0 && answer.is_complete && answer.header("connection") != "close"
}
