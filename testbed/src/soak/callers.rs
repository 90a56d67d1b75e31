use {
    super::attempt::{Attempt, Kind},
    crate::direct::{Client, ClientAnswer, ClientRequest},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{sync::watch, task::JoinSet, time::timeout},
};

/// How long a caller says that it waits, and how long it does.
const PATIENCE_MS: &str = "4000";
const GIVES_UP: Duration = Duration::from_secs(8);

/// Pause of a caller that finds no router.
const NOBODY: Duration = Duration::from_millis(50);

/// Callers that send one request after the other until they are told to stop.
pub struct Callers {
    attempts: Arc<Mutex<Vec<Attempt>>>,
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Callers {
    /// Starts so many for each router.
    pub fn start(
        seed: u64,
        routers: &[SocketAddr],
        each: usize,
    ) -> Self {
        let attempts = Arc::new(Mutex::new(Vec::new()));
        let stop = watch::Sender::new(false);
        let mut tasks = JoinSet::new();
        for number in 0..routers.len() * each {
            let router = number % routers.len();
            let caller = Caller {
                number,
                router,
                address: routers[router],
                random: StdRng::seed_from_u64(seed ^ (number as u64) << 32),
                attempts: attempts.clone(),
            };
            tasks.spawn(caller.run(stop.subscribe()));
        }
        Self {
            attempts,
            stop,
            tasks,
        }
    }

    /// Ends them after their last answers, and gives what they saw.
    pub async fn end(self) -> Vec<Attempt> {
        self.stop.send_replace(true);
        self.tasks.join_all().await;
        std::mem::take(&mut *self.attempts.lock().expect("attempts lock"))
    }
}

struct Caller {
    number: usize,
    router: usize,
    address: SocketAddr,
    random: StdRng,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Caller {
    async fn run(
        mut self,
        stop: watch::Receiver<bool>,
    ) {
        let mut client = None;
        let mut sent = 0u64;
        while !*stop.borrow() {
            let Some(open) = client.take() else {
                client = Client::connect(self.address).await.ok();
                if client.is_none() {
                    tokio::time::sleep(NOBODY).await;
                }
                continue;
            };
            sent += 1;
            client = self.call(open, sent).await;
            let pause = self.random.random_range(2..20);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// One request. Gives the connection back if it may be used again.
    async fn call(
        &mut self,
        mut client: Client,
        sent: u64,
    ) -> Option<Client> {
        let kind = match self.random.random_range(0..10) {
            0..4 => Kind::Read,
            4..8 => Kind::Charge,
            _ => Kind::Events,
        };
        let id = format!("c{}-{sent}", self.number);
        let request =
            ClientRequest::post(kind.path(), &id, "{}").header("Archmast-Deadline-Ms", PATIENCE_MS);
        let began = Instant::now();
        let answer = timeout(GIVES_UP, client.call(&request)).await.ok();
        let keeps = answer.as_ref().is_some_and(may_go_on);
        let attempt = Attempt {
            id,
            kind,
            router: self.router,
            sent: began,
            ended: Instant::now(),
            answer,
        };
        self.attempts.lock().expect("attempts lock").push(attempt);
        keeps.then_some(client)
    }
}

fn may_go_on(answer: &ClientAnswer) -> bool {
    answer.status != 0 && answer.is_complete && answer.header("connection") != "close"
}
