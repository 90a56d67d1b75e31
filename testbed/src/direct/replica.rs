use {
    super::{
        ReceivedRequest, ReplicaAnswer, ReplicaRun, replica_answering::CrashTiming,
        replica_serving::accept, replica_state::ReplicaState,
    },
    serde_json::json,
    std::{
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::watch, task::JoinHandle},
};

/// Software version of replicas that were given none.
pub(super) const DEFAULT_VERSION: &str = "v1";

/// A stand-in replica that answers requests as scripted and records them.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    state: Arc<ReplicaState>,
    task: JoinHandle<()>,
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Replica {
    /// Starts a replica on a free port.
    pub async fn start(
        ip: IpAddr,
        id: &str,
        default_answer: ReplicaAnswer,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = Arc::new(ReplicaState {
            id: Mutex::new(id.to_owned()),
            script: Mutex::default(),
            default_answer: Mutex::new(default_answer),
            received: Mutex::default(),
            cached_parts: Mutex::default(),
            list_delay: Mutex::default(),
            cache_events: watch::Sender::default(),
            event_requests: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            total_connections: AtomicUsize::new(0),
            crash_trigger: Mutex::default(),
            exited: watch::Sender::new(false),
            listener_closed: watch::Sender::new(false),
            close_one_in: AtomicUsize::new(0),
            runs: AtomicUsize::new(0),
            backoff_seconds: Mutex::default(),
            refuses_cache_requests: AtomicBool::new(false),
            extra_headers: Mutex::default(),
            slow_until: Mutex::default(),
            version: Mutex::default(),
            paused_until: Mutex::default(),
            run_times: Mutex::default(),
        });
        let task = tokio::spawn(accept(state.clone(), listener));
        Self {
            id: id.to_owned(),
            address,
            state,
            task,
        }
    }

    /// Appends an answer to the script, whose answers apply to one request each.
    pub fn push_answer(
        &self,
        answer: ReplicaAnswer,
    ) {
        self.state.script.lock().expect("lock").push_back(answer);
    }

    /// Removes all remaining answers from the script.
    pub fn clear_script(&self) {
        self.state.script.lock().expect("lock").clear();
    }

    /// Sets the answer to all requests for which the script is empty.
    pub fn set_default_answer(
        &self,
        answer: ReplicaAnswer,
    ) {
        *self.state.default_answer.lock().expect("lock") = answer;
    }

    /// Sets the list of cached prompt parts that it reports: their ids and tokens.
    pub fn set_cached_parts(
        &self,
        parts: &[(&str, u32)],
    ) {
        let parts = parts
            .iter()
            .map(|(id, tokens)| json!(["", id, tokens, "m"]));
        *self.state.cached_parts.lock().expect("lock") = parts.collect();
    }

    /// Adds a cache event: a prompt part was cached (`kind` is "+") or evicted ("-"), and
    /// `tokens` of it are cached now.
    pub fn push_cache_event(
        &self,
        kind: &str,
        part: &str,
        tokens: u32,
    ) {
        self.state.cache_events.send_modify(|events| {
            let number = events.len() + 1;
            events.push(json!([number, kind, "", part, tokens, "m"]));
        });
    }

    /// How many requests for cache events it received.
    pub fn event_request_count(&self) -> usize {
        self.state.event_requests.load(Ordering::SeqCst)
    }

    /// Sets how long it takes to answer a request for its list of cached parts.
    pub fn set_list_delay(
        &self,
        time: Duration,
    ) {
        *self.state.list_delay.lock().expect("lock") = time;
    }

    /// Refuses all further requests with this time in `Retry-After`; with none, it answers
    /// again.
    pub fn set_backoff(
        &self,
        backoff_seconds: Option<f64>,
    ) {
        *self.state.backoff_seconds.lock().expect("lock") = backoff_seconds;
    }

    /// Refuses all further requests for its list of cached parts and for cache events.
    pub fn refuse_cache_requests(&self) {
        self.state
            .refuses_cache_requests
            .store(true, Ordering::SeqCst);
    }

    /// Crashes when it starts to run a request whose body, or whose list of prompt parts,
    /// contains this text: its connections are closed and new ones are refused.
    pub fn crash_on(
        &self,
        text: &str,
    ) {
        self.crash_on_with(text, CrashTiming::Immediate);
    }

    /// The same as [`Self::crash_on`], with another timing.
    pub fn crash_on_with(
        &self,
        text: &str,
        timing: CrashTiming,
    ) {
        *self.state.crash_trigger.lock().expect("lock") = Some((text.to_owned(), timing));
    }

    /// Crashes now, whatever it runs.
    pub fn crash(&self) {
        self.state.exited.send_replace(true);
    }

    /// Writes nothing for this long, with its connections left open, and then goes on where it
    /// stopped. Runs in progress stay, and new requests are taken after the pause. A run whose
    /// connection is closed ends, also during the pause.
    pub fn pause_for(
        &self,
        time: Duration,
    ) {
        let until = Instant::now() + time;
        let mut paused_until = self.state.paused_until.lock().expect("lock");
        *paused_until = (*paused_until).max(Some(until));
    }

    /// Closes the connection on one in `count` of the requests instead of answering; 0
    /// is none.
    pub fn close_one_in(
        &self,
        count: usize,
    ) {
        self.state.close_one_in.store(count, Ordering::SeqCst);
    }

    /// Adds these headers to all further answers, in place of those set before.
    pub fn set_headers(
        &self,
        headers: &[(&str, &str)],
    ) {
        let lines = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        *self.state.extra_headers.lock().expect("lock") = lines.collect();
    }

    /// Sets the end of its slow start, which its health answers state.
    pub fn set_slow_until(
        &self,
        until: Instant,
    ) {
        *self.state.slow_until.lock().expect("lock") = Some(until);
    }

    /// Sets the version of its software, which its events tell from then on.
    pub fn set_version(
        &self,
        version: &str,
    ) {
        *self.state.version.lock().expect("lock") = Some(version.to_owned());
    }

    /// The version of its software, as its entry in the store states it.
    pub fn version(&self) -> String {
        let version = self.state.version.lock().expect("lock").clone();
        version.unwrap_or_else(|| DEFAULT_VERSION.to_owned())
    }

    /// Whether it has crashed.
    pub fn has_exited(&self) -> bool {
        *self.state.exited.borrow()
    }

    /// Changes the replica's id, as if another replica now used its address.
    pub fn set_id(
        &self,
        id: &str,
    ) {
        *self.state.id.lock().expect("lock") = id.to_owned();
    }

    /// The requests that it received, without those that were meant for a replica with
    /// another id.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state.received.lock().expect("lock").clone()
    }

    /// The times for which it worked on requests, refused ones excepted.
    pub fn run_times(&self) -> Vec<ReplicaRun> {
        self.state.run_times.lock().expect("lock").clone()
    }

    /// How many requests with this attempt id it received.
    pub fn received_count(
        &self,
        id: &str,
    ) -> usize {
        let received = self.received();
        received
            .iter()
            .filter(|request| request.attempt_id() == id)
            .count()
    }

    /// Number of connections that are open now.
    pub fn open_connections(&self) -> usize {
        self.state.open_connections.load(Ordering::SeqCst)
    }

    /// Number of connections that were opened since the start.
    pub fn total_connections(&self) -> usize {
        self.state.total_connections.load(Ordering::SeqCst)
    }
}
