use {
    super::{
        caller_body::CallerBody,
        caller_port::answer_caller,
        caller_stream::CallerStream,
        gateway::Gateway,
        hand_on::{connect_to_neighbour, pass_on},
        sockets::watch_over_caller,
        unsent_answer::UnsentAnswer,
    },
    crate::{
        codes::ResultCode,
        ops::{HANDED_ON, UNREAD_ANSWERS},
    },
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::TokioTimer,
    std::{
        future::{Future, poll_fn},
        io,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        sync::watch,
    },
};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// How often a connection looks whether it has rested too long.
const REST_CHECK: Duration = Duration::from_millis(500);

/// How long a connection may rest while more are open than are kept.
const CROWDED_REST: Duration = Duration::from_millis(300);

/// Pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The connections of callers: accepted, served, closed.
pub struct CallerConnections {
    gateway: Arc<Gateway>,
    open: watch::Sender<usize>,
    closing: watch::Sender<bool>, // idle ones close now, busy ones after their answer
}

impl CallerConnections {
    /// No connection yet.
    pub fn new(gateway: Arc<Gateway>) -> Arc<Self> {
        Arc::new(Self {
            gateway,
            open: watch::Sender::new(0),
            closing: watch::Sender::new(false),
        })
    }

    /// Binds the address for callers.
    pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    }

    /// Accepts until it is dropped.
    pub async fn accept(
        self: Arc<Self>,
        listener: TcpListener,
    ) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    tokio::spawn(self.clone().serve_or_hand_on(stream, from));
                }
                Err(error) => {
                    log::warn!("accepting failed: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Closes connections at rest now, and the others after their answers.
    pub fn close_resting(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until none is open.
    pub async fn all_closed(&self) {
        let mut open = self.open.subscribe();
        if open.wait_for(|count| *count == 0).await.is_err() {
            log::debug!("the counter is gone");
        }
    }

    /// Whether more connections are open than are kept.
    fn is_crowded(&self) -> bool {
        *self.open.borrow() > self.gateway.settings().max_connections
    }

    /// Who takes a new connection over, if anyone should: none that waited here for the
    /// processor, or comes so late in a stop that it is refused.
    fn neighbour_for_new(&self) -> Option<SocketAddr> {
        let gateway = &self.gateway;
        let stays = gateway.processor.is_choked() || gateway.is_refusing();
        gateway
            .processor
            .neighbour(rand::random())
            .filter(|_| !stays)
    }

    async fn serve_or_hand_on(
        self: Arc<Self>,
        stream: TcpStream,
        from: SocketAddr,
    ) {
        watch_over_caller(&stream);
        self.open.send_modify(|count| *count += 1);
        self.gateway.crowded(self.is_crowded());
        let _counted = CountedConnection(self.clone());
        let was_handed_on = self.gateway.peers.is_neighbour(from.ip());
        if let Some(neighbour) = self.neighbour_for_new().filter(|_| !was_handed_on) {
            let own = self.gateway.settings().callers;
            let started = self.gateway.now();
            match connect_to_neighbour(own, neighbour).await {
                Ok(connection) => {
                    let connect_ms = (self.gateway.now() - started).as_millis() as u64;
                    metrics::counter!(HANDED_ON).increment(1);
                    log::info!(
                        caller = from.to_string().as_str(), neighbour = neighbour.to_string().as_str(),
                        connect_ms = connect_ms;
                        "connection handed on"
                    );
                    let passing = pass_on(stream, connection, self.closing.subscribe());
                    if let Err(error) = Box::pin(passing).await {
                        log::debug!("connection that was handed on: {error}");
                    }
                    return;
                }
                Err(error) => {
                    log::info!(
                        neighbour = neighbour.to_string().as_str();
                        "connection not handed on: {error}"
                    );
                }
            }
        }
        self.serve(stream, from, was_handed_on).await;
    }

    /// Serves a connection. One that a router in between handed on ends with its answer
    /// once that router stops, which would cut a later one.
    async fn serve(
        self: &Arc<Self>,
        stream: TcpStream,
        from: SocketAddr,
        was_handed_on: bool,
    ) {
        let in_between = was_handed_on.then(|| from.ip());
        let activity = Arc::new(Activity::new(&self.gateway));
        let answer = UnsentAnswer::new(self.gateway.clone());
        let gateway = self.gateway.clone();
        let (noted, unsent) = (activity.clone(), answer.clone());
        let service = service_fn(move |request| {
            let busy = noted.begin();
            let (gateway, unsent) = (gateway.clone(), unsent.clone());
            let ends_with_answer = stops(&gateway, in_between);
            // Boxed, so that a connection at rest holds no room for it.
            Box::pin(async move {
                let answer = answer_caller(gateway, request, ends_with_answer).await;
                drop(busy);
                answer.map(|response| response.map(|body| CallerBody::new(unsent, body)))
            })
        });
        let limits = self.gateway.catalog.config().map(|table| table.limits);
        let limits = limits.unwrap_or_default();
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(limits.max_header_bytes.max(8192) * 2)
            .serve_connection(CallerStream::new(stream, answer.clone()), service);
        tokio::pin!(connection);
        let mut closing = self.closing.subscribe();
        let mut is_closing = false;
        loop {
            let driven = poll_fn(|context| {
                let ended = connection.as_mut().poll(context);
                if ended.is_pending() {
                    answer.read_on(context);
                }
                ended
            });
            tokio::select! {
                ended = driven => {
                    if let Err(error) = ended {
                        log::debug!("connection of a caller: {error}");
                    }
                    return;
                }
                asked = closing.wait_for(|closing| *closing), if !is_closing => {
                    if asked.is_err() {
                        return;
                    }
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = tokio::time::sleep(REST_CHECK) => {
                    if let Some(held) = answer.given_up() {
                        return log_unread(from, held);
                    }
                    let rested = activity.rested(&self.gateway, self.is_crowded());
                    if !is_closing && (rested || stops(&self.gateway, in_between)) {
                        is_closing = true;
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }
}

/// An answer whose caller took nothing of it is given up.
fn log_unread(
    from: SocketAddr,
    held: u64,
) {
    metrics::counter!(UNREAD_ANSWERS).increment(1);
    log::info!(
        caller = from.to_string().as_str(),
        code = ResultCode::AnswerUnread.number(),
        held_bytes = held;
        "answer given up: {}", ResultCode::AnswerUnread.meaning()
    );
}

/// Whether the router that handed a connection on stops.
fn stops(
    gateway: &Gateway,
    in_between: Option<IpAddr>,
) -> bool {
    in_between.is_some_and(|address| gateway.peers.is_leaving(address))
}

struct CountedConnection(Arc<CallerConnections>);

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.open.send_modify(|count| *count -= 1);
        self.0.gateway.crowded(self.0.is_crowded());
    }
}

/// When a connection was last busy.
struct Activity {
    gateway: Arc<Gateway>,
    busy: AtomicUsize,
    last_ms: AtomicUsize, // since the process started
}

struct Busy(Arc<Activity>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.touch();
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Activity {
    fn new(gateway: &Arc<Gateway>) -> Self {
        let now = gateway.now().as_millis() as usize;
        Self {
            gateway: gateway.clone(),
            busy: AtomicUsize::new(0),
            last_ms: AtomicUsize::new(now),
        }
    }

    fn begin(self: &Arc<Self>) -> Busy {
        self.touch();
        self.busy.fetch_add(1, Ordering::Relaxed);
        Busy(self.clone())
    }

    fn touch(&self) {
        let now = self.gateway.now().as_millis() as usize;
        self.last_ms.store(now, Ordering::Relaxed);
    }

    /// Whether it has rested longer than the limit in force, or than a crowd
    /// leaves it.
    fn rested(
        &self,
        gateway: &Gateway,
        crowded: bool,
    ) -> bool {
        let limits = gateway.catalog.config().map(|table| table.limits);
        let usual = limits.unwrap_or_default().idle_timeout;
        let most = if crowded { CROWDED_REST } else { usual }.as_millis() as usize;
        let rested = (gateway.now().as_millis() as usize)
            .saturating_sub(self.last_ms.load(Ordering::Relaxed));
        self.busy.load(Ordering::Relaxed) == 0 && rested > most
    }
}
