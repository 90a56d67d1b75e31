use {
    super::{
        ReplicaAnswer, SeenRequest, replica_answering::EndManner, replica_serving::accept,
        replica_state::ReplicaState,
    },
    serde_json::json,
    std::{
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, task::JoinHandle},
};

/// A stand-in replica: it does as it is told, request by request, and keeps
/// what it got.
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
    /// Starts one on a free port.
    pub async fn start(
        ip: IpAddr,
        id: &str,
        usual: ReplicaAnswer,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = Arc::new(ReplicaState {
            id: Mutex::new(id.to_owned()),
            script: Mutex::default(),
            usual: Mutex::new(usual),
            seen: Mutex::default(),
            kept: Mutex::default(),
            list_after: Mutex::default(),
            events: watch::Sender::default(),
            events_asked: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            opened: AtomicUsize::new(0),
            fatal: Mutex::default(),
            ended: watch::Sender::new(false),
            cuts_one_in: AtomicUsize::new(0),
            runs: AtomicUsize::new(0),
            rest_seconds: Mutex::default(),
            list_refused: AtomicBool::new(false),
            said: Mutex::default(),
        });
        let task = tokio::spawn(accept(state.clone(), listener));
        Self {
            id: id.to_owned(),
            address,
            state,
            task,
        }
    }

    /// What it does with the next request that is not told already.
    pub fn next(
        &self,
        answer: ReplicaAnswer,
    ) {
        self.state.script.lock().expect("lock").push_back(answer);
    }

    /// Forgets what it was told for requests to come.
    pub fn forget_script(&self) {
        self.state.script.lock().expect("lock").clear();
    }

    /// What it does with all requests that nothing else is told for.
    pub fn usually(
        &self,
        answer: ReplicaAnswer,
    ) {
        *self.state.usual.lock().expect("lock") = answer;
    }

    /// The parts of prompts that it says it keeps: their ids and tokens.
    pub fn keeps(
        &self,
        parts: &[(&str, u32)],
    ) {
        let parts = parts
            .iter()
            .map(|(id, tokens)| json!(["", id, tokens, "m"]));
        *self.state.kept.lock().expect("lock") = parts.collect();
    }

    /// It takes a part in or gives it up, and tells so to those that ask from now on.
    pub fn tells(
        &self,
        sign: &str,
        part: &str,
        tokens: u32,
    ) {
        self.state.events.send_modify(|events| {
            let number = events.len() + 1;
            events.push(json!([number, sign, "", part, tokens, "m"]));
        });
    }

    /// How often it was asked for that.
    pub fn events_asked(&self) -> usize {
        self.state.events_asked.load(Ordering::SeqCst)
    }

    /// How long it takes to say what it keeps.
    pub fn list_after(
        &self,
        time: Duration,
    ) {
        *self.state.list_after.lock().expect("lock") = time;
    }

    /// From now on it turns all requests away and asks for so much rest; with none it
    /// answers again.
    pub fn turns_away(
        &self,
        rest_seconds: Option<f64>,
    ) {
        *self.state.rest_seconds.lock().expect("lock") = rest_seconds;
    }

    /// From now on it turns the question for what it keeps away.
    pub fn turns_list_away(&self) {
        self.state.list_refused.store(true, Ordering::SeqCst);
    }

    /// From now on it ends when it begins to run a request whose body has this text:
    /// its connections break off and new ones are refused.
    pub fn ends_under(
        &self,
        text: &str,
    ) {
        self.ends_after(text, EndManner::AtOnce);
    }

    /// The same, in another manner.
    pub fn ends_after(
        &self,
        text: &str,
        manner: EndManner,
    ) {
        *self.state.fatal.lock().expect("lock") = Some((text.to_owned(), manner));
    }

    /// From now on it breaks off the connection of one in so many requests, and lives on.
    pub fn cuts_one_in(
        &self,
        count: usize,
    ) {
        self.state.cuts_one_in.store(count, Ordering::SeqCst);
    }

    /// From now on all its answers have these headers too.
    pub fn says(
        &self,
        headers: &[(&str, &str)],
    ) {
        let lines = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"));
        *self.state.said.lock().expect("lock") = lines.collect();
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        *self.state.ended.borrow()
    }

    /// From now on another replica runs at its address.
    pub fn become_another(
        &self,
        id: &str,
    ) {
        *self.state.id.lock().expect("lock") = id.to_owned();
    }

    /// What it got, but for requests that were meant for another replica.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.state.seen.lock().expect("lock").clone()
    }

    /// How often it got a request with this id.
    pub fn got(
        &self,
        id: &str,
    ) -> usize {
        let seen = self.seen();
        seen.iter().filter(|request| request.id() == id).count()
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.state.open.load(Ordering::SeqCst)
    }

    /// Connections that were opened so far.
    pub fn opened(&self) -> usize {
        self.state.opened.load(Ordering::SeqCst)
    }
}
