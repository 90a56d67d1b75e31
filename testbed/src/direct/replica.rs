use {
    super::{ReplicaAnswer, SeenRequest},
    serde_json::{Value, json},
    std::{
        collections::{HashMap, VecDeque},
        io,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinHandle,
    },
};

/// A stand-in replica: it does as it is told, request by request, and keeps
/// what it got.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

struct State {
    id: Mutex<String>,
    script: Mutex<VecDeque<ReplicaAnswer>>,
    usual: Mutex<ReplicaAnswer>,
    seen: Mutex<Vec<SeenRequest>>,
    kept: Mutex<Vec<Value>>,      // parts of prompts, as it lists them
    list_after: Mutex<Duration>,  // what listing takes
    open: AtomicUsize,            // connections
    opened: AtomicUsize,          // connections so far
    fatal: Mutex<Option<String>>, // a body with this text ends it
    ended: watch::Sender<bool>,
    cuts_one_in: AtomicUsize, // requests; 0 is none
    runs: AtomicUsize,
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
        let state = Arc::new(State {
            id: Mutex::new(id.to_owned()),
            script: Mutex::default(),
            usual: Mutex::new(usual),
            seen: Mutex::default(),
            kept: Mutex::default(),
            list_after: Mutex::default(),
            open: AtomicUsize::new(0),
            opened: AtomicUsize::new(0),
            fatal: Mutex::default(),
            ended: watch::Sender::new(false),
            cuts_one_in: AtomicUsize::new(0),
            runs: AtomicUsize::new(0),
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

    /// How long it takes to say what it keeps.
    pub fn list_after(
        &self,
        time: Duration,
    ) {
        *self.state.list_after.lock().expect("lock") = time;
    }

    /// From now on it ends when it begins to run a request whose body has this text:
    /// its connections break off and new ones are refused.
    pub fn ends_under(
        &self,
        text: &str,
    ) {
        *self.state.fatal.lock().expect("lock") = Some(text.to_owned());
    }

    /// From now on it breaks off the connection of one in so many requests, and lives on.
    pub fn cuts_one_in(
        &self,
        count: usize,
    ) {
        self.state.cuts_one_in.store(count, Ordering::SeqCst);
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

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.state.open.load(Ordering::SeqCst)
    }

    /// Connections that were opened so far.
    pub fn opened(&self) -> usize {
        self.state.opened.load(Ordering::SeqCst)
    }
}

/// Takes connections until it ends.
async fn accept(
    state: Arc<State>,
    listener: TcpListener,
) {
    let mut ended = state.ended.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ended.wait_for(|ended| *ended) => return,
        };
        let Ok((stream, _)) = accepted else {
            return;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("connection delays small pieces: {error}");
        }
        tokio::spawn(serve(state.clone(), stream));
    }
}

async fn serve(
    state: Arc<State>,
    mut stream: TcpStream,
) {
    state.open.fetch_add(1, Ordering::SeqCst);
    state.opened.fetch_add(1, Ordering::SeqCst);
    let mut ended = state.ended.subscribe();
    let outcome = tokio::select! {
        outcome = serve_requests(&state, &mut stream) => outcome,
        _ = ended.wait_for(|ended| *ended) => Ok(()),
    };
    state.open.fetch_sub(1, Ordering::SeqCst);
    if let Err(error) = outcome {
        log::debug!("connection of a router: {error}");
    }
}

async fn serve_requests(
    state: &State,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let mut rest = Vec::new();
    while let Some(request) = read_request(stream, &mut rest).await? {
        if request.target == "/v1/kv-list" {
            let wait = *state.list_after.lock().expect("lock");
            tokio::time::sleep(wait).await;
            write(stream, &list(state)).await?;
            continue;
        }
        let id = state.id.lock().expect("lock").clone();
        if request.header("archmast-expected-replica") != id {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nArchmast-Replica-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes()).await?;
            continue;
        }
        state.seen.lock().expect("lock").push(request.clone());
        let fatal = state.fatal.lock().expect("lock").clone();
        if fatal.is_some_and(|text| request.text().contains(&text)) {
            state.ended.send_replace(true);
            return Ok(());
        }
        let run = state.runs.fetch_add(1, Ordering::SeqCst) + 1;
        let cuts_one_in = state.cuts_one_in.load(Ordering::SeqCst);
        if cuts_one_in > 0 && run.is_multiple_of(cuts_one_in) {
            return Ok(());
        }
        let told = state.script.lock().expect("lock").pop_front();
        let answer = told.unwrap_or_else(|| state.usual.lock().expect("lock").clone());
        if !act(stream, &request, answer).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// What it keeps, as an answer.
fn list(state: &State) -> String {
    let kept = state.kept.lock().expect("lock").clone();
    let body = json!({"epoch": 1, "next_token": 1, "held": kept}).to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Answers one request. False if the connection ends with it.
async fn act(
    stream: &mut TcpStream,
    request: &SeenRequest,
    answer: ReplicaAnswer,
) -> io::Result<bool> {
    let id = request.id();
    match answer {
        ReplicaAnswer::Whole { status, body } => write(stream, &whole(id, status, &body)).await?,
        ReplicaAnswer::Slow { body, after } => {
            let mut byte = [0];
            tokio::select! {
                () = tokio::time::sleep(after) => write(stream, &whole(id, 200, &body)).await?,
                _ = stream.read(&mut byte) => return Ok(false),
            }
        }
        ReplicaAnswer::NotExecuted { status } => {
            let text = format!(
                "HTTP/1.1 {status} Not Now\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            write(stream, &text).await?;
        }
        ReplicaAnswer::Close => return Ok(false),
        ReplicaAnswer::Silent => {
            wait_for_close(stream).await;
            return Ok(false);
        }
        ReplicaAnswer::Cut => {
            let text = whole(id, 200, "a whole body of some length");
            write(stream, &text[..text.len() - 9]).await?;
            return Ok(false);
        }
        ReplicaAnswer::WrongId => write(stream, &whole("another", 200, "not yours")).await?,
        ReplicaAnswer::Unsigned => {
            let text = format!(
                "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\nok"
            );
            write(stream, &text).await?;
        }
        ReplicaAnswer::Garbage => {
            write(stream, "\0\0 this is no answer \r\n\r\n").await?;
            return Ok(false);
        }
        ReplicaAnswer::Surplus { body } => {
            let text = whole(id, 200, &body) + &whole(id, 200, "surplus");
            write(stream, &text).await?;
        }
        ReplicaAnswer::Events { last, pause } => {
            write_events(stream, request, last, pause).await?;
            write(stream, "0\r\n\r\n").await?;
        }
        ReplicaAnswer::EventsCut { last, .. } | ReplicaAnswer::EventsStall { last, .. }
            if !request.header("last-event-id").is_empty() =>
        {
            write_events(stream, request, last, Duration::ZERO).await?;
            write(stream, "0\r\n\r\n").await?;
        }
        ReplicaAnswer::EventsCut { after, .. } => {
            write_events(stream, request, after, Duration::ZERO).await?;
            write(stream, &chunk(&format!("id: {}\ndata: pa", after + 1))).await?;
            return Ok(false);
        }
        ReplicaAnswer::EventsStall { after, .. } => {
            write_events(stream, request, after, Duration::ZERO).await?;
            wait_for_close(stream).await;
            return Ok(false);
        }
    }
    Ok(true)
}

async fn write_events(
    stream: &mut TcpStream,
    request: &SeenRequest,
    last: u32,
    pause: Duration,
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nArchmast-Attempt-Id: {}\r\nArchmast-Replica-Signature: s.{}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        request.id(),
        request.header("archmast-expected-replica")
    );
    write(stream, &head).await?;
    let first = request.header("last-event-id").parse().unwrap_or(0) + 1;
    for number in first..=last {
        tokio::time::sleep(pause).await;
        write(stream, &chunk(&event(number))).await?;
    }
    Ok(())
}

/// One event as the stand-ins write it.
pub fn event(number: u32) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn whole(
    id: &str,
    status: u16,
    body: &str,
) -> String {
    format!(
        "HTTP/1.1 {status} Answer\r\nArchmast-Attempt-Id: {id}\r\nArchmast-Replica-Signature: s.1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn write(
    stream: &mut TcpStream,
    text: &str,
) -> io::Result<()> {
    stream.write_all(text.as_bytes()).await
}

async fn wait_for_close(stream: &mut TcpStream) {
    let mut bytes = [0; 64];
    while matches!(stream.read(&mut bytes).await, Ok(count) if count > 0) {}
}

/// Reads one request; none at the end of the connection.
async fn read_request(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
) -> io::Result<Option<SeenRequest>> {
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        if stream.read_buf(rest).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    rest.drain(..head_end + 4);
    let mut lines = head.lines();
    let mut words = lines.next().unwrap_or("").split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    while rest.len() < length {
        if stream.read_buf(rest).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(SeenRequest {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        body: rest.drain(..length).collect(),
        arrived: Instant::now(),
    }))
}
