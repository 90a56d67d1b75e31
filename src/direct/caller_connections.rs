use {
    super::{
        answer_buffer::AnswerBuffer,
        caller_body::CallerBody,
        caller_port::answer_caller,
        caller_stream::CallerStream,
        connection_activity::ConnectionActivity,
        gateway::Gateway,
        neighbour_connection::{answer_neighbour_check, connect_to_neighbour, is_neighbour_check},
        neighbour_relay::NeighbourRelay,
        sockets::configure_caller_socket,
    },
    crate::{
        codes::ResultCode,
        ops::{CONNECTIONS_FORWARDED, UNREAD_ANSWERS},
    },
    hyper::{Version, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioTimer,
    std::{
        future::{Future, poll_fn},
        io,
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::Interest,
        net::{TcpListener, TcpSocket, TcpStream},
        sync::watch,
        time::timeout,
    },
};

/// Length of the queue of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// How often a connection checks whether it should be closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long a connection that is to be forwarded may take to send its first bytes. Later it is
/// served here.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts, serves and closes the connections of callers.
pub struct CallerConnections {
    gateway: Arc<Gateway>,
    open_count: watch::Sender<usize>,
    closing: watch::Sender<bool>, // idle connections close now, busy ones after their answer
}

impl CallerConnections {
    /// Starts without connections.
    pub fn new(gateway: Arc<Gateway>) -> Arc<Self> {
        Arc::new(Self {
            gateway,
            open_count: watch::Sender::new(0),
            closing: watch::Sender::new(false),
        })
    }

    /// Binds the address on which callers connect.
    pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(ACCEPT_BACKLOG)
    }

    /// Accepts connections until the task is aborted.
    pub async fn accept(
        self: Arc<Self>,
        listener: TcpListener,
    ) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    tokio::spawn(self.clone().serve_or_forward(stream, from));
                }
                Err(error) => {
                    log::warn!("cannot accept a caller's connection: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Closes idle connections now, and the others after their answers.
    pub fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until no connection is open.
    pub async fn all_closed(&self) {
        let mut open_count = self.open_count.subscribe();
        if open_count.wait_for(|count| *count == 0).await.is_err() {
            log::debug!("the connection counter was dropped");
        }
    }

    /// Whether more connections are open than `max_connections`.
    fn is_crowded(&self) -> bool {
        *self.open_count.borrow() > self.gateway.settings().max_connections
    }

    /// The neighbour that a new connection is forwarded to, if any. Connections stay here while
    /// this router lags, as they have already waited for its processor, and while it refuses
    /// requests before it stops.
    fn neighbour_for_new_connection(&self) -> Option<SocketAddr> {
        let gateway = &self.gateway;
        let stays = gateway.processor.is_lagging() || gateway.is_refusing();
        gateway
            .processor
            .draw_neighbour(rand::random())
            .filter(|_| !stays)
    }

    async fn serve_or_forward(
        self: Arc<Self>,
        stream: TcpStream,
        from: SocketAddr,
    ) {
        configure_caller_socket(&stream);
        self.open_count.send_modify(|count| *count += 1);
        self.gateway.set_crowded(self.is_crowded());
        let _counted = CountedConnection(self.clone());
        if self.gateway.peers.is_neighbour(from.ip()) {
            return self.serve(stream, from, true).await;
        }
        if let Some(stream) = self.forward(stream, from).await {
            self.serve(stream, from, false).await;
        }
    }

    /// Forwards a connection to a neighbour and relays it until its end. Returns the connection
    /// if it is to be served here, since this router has time or no neighbour answers.
    async fn forward(
        &self,
        stream: TcpStream,
        from: SocketAddr,
    ) -> Option<TcpStream> {
        if self.neighbour_for_new_connection().is_none() {
            return Some(stream);
        }
        // The neighbour is checked right before the caller's first bytes are passed on.
        let first_bytes = stream.ready(Interest::READABLE);
        if timeout(FIRST_BYTES_TIMEOUT, first_bytes).await.is_err() {
            return Some(stream);
        }
        let Some(neighbour) = self.neighbour_for_new_connection() else {
            return Some(stream);
        };
        let own_address = self.gateway.settings().caller_listen;
        let started = self.gateway.now();
        let connection = match connect_to_neighbour(own_address, neighbour).await {
            Ok(connection) => connection,
            Err(error) => {
                log::info!(
                    neighbour = neighbour.to_string().as_str();
                    "connection not handed on: {error}"
                );
                return Some(stream);
            }
        };
        let connect_ms = (self.gateway.now() - started).as_millis() as u64;
        // A request whose caller disconnected while it waited here must not be run.
        let ready = stream.ready(Interest::READABLE).await.ok()?;
        if ready.is_read_closed() {
            return None;
        }
        metrics::counter!(CONNECTIONS_FORWARDED).increment(1);
        log::info!(
            caller = from.to_string().as_str(), neighbour = neighbour.to_string().as_str(),
            connect_ms = connect_ms;
            "connection handed on"
        );
        let relay = NeighbourRelay::new(&self.gateway, neighbour);
        let relaying = relay.run(stream, connection, self.closing.subscribe());
        if let Err(error) = Box::pin(relaying).await {
            log::debug!("connection that was handed on: {error}");
        }
        None
    }

    /// Serves a connection. A connection that another router forwards is closed after its
    /// answer once that router is stopping, as its exit would cut off a later answer.
    async fn serve(
        self: &Arc<Self>,
        stream: TcpStream,
        from: SocketAddr,
        was_forwarded: bool,
    ) {
        let forwarding_router = was_forwarded.then(|| from.ip());
        let activity = Arc::new(ConnectionActivity::new(&self.gateway));
        let buffer = AnswerBuffer::new(self.gateway.clone());
        let gateway = self.gateway.clone();
        let (service_activity, service_buffer) = (activity.clone(), buffer.clone());
        let service = service_fn(move |request| {
            if request.version() < Version::HTTP_11 {
                service_buffer.set_unframed();
            }
            let is_check = was_forwarded && is_neighbour_check(&request);
            let busy = service_activity.start_request();
            let (gateway, buffer) = (gateway.clone(), service_buffer.clone());
            let closes_after_answer = is_stopping(&gateway, forwarding_router);
            // Boxed, so that an idle connection does not reserve memory for this future.
            Box::pin(async move {
                if is_check {
                    let answer = answer_neighbour_check(&gateway);
                    return Ok(answer.map(|body| CallerBody::new(buffer, body)));
                }
                let answer = answer_caller(gateway, request, closes_after_answer).await;
                drop(busy);
                answer.map(|response| response.map(|body| CallerBody::new(buffer, body)))
            })
        });
        let limits = self.gateway.catalog.config().map(|table| table.limits);
        let limits = limits.unwrap_or_default();
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(limits.max_header_bytes.max(8192) * 2)
            .serve_connection(CallerStream::new(stream, buffer.clone()), service);
        tokio::pin!(connection);
        let mut closing = self.closing.subscribe();
        let mut is_closing = false;
        loop {
            let driven = poll_fn(|context| {
                let ended = connection.as_mut().poll(context);
                if ended.is_pending() {
                    buffer.read_ahead(context);
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
                changed = closing.wait_for(|closing| *closing), if !is_closing => {
                    if changed.is_err() {
                        return;
                    }
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = tokio::time::sleep(IDLE_CHECK_INTERVAL) => {
                    if let Some(held_bytes) = buffer.aborted_bytes() {
                        return log_unread(from, held_bytes);
                    }
                    let is_idle = activity.is_idle_too_long(self.is_crowded());
                    if !is_closing && (is_idle || is_stopping(&self.gateway, forwarding_router)) {
                        is_closing = true;
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }
}

/// Counts and logs an answer that is aborted, as its caller does not read it.
fn log_unread(
    from: SocketAddr,
    held_bytes: u64,
) {
    metrics::counter!(UNREAD_ANSWERS).increment(1);
    log::info!(
        caller = from.to_string().as_str(),
        code = ResultCode::AnswerUnread.number(),
        held_bytes = held_bytes;
        "answer given up: {}", ResultCode::AnswerUnread.meaning()
    );
}

/// Whether the router that forwards a connection here is stopping.
fn is_stopping(
    gateway: &Gateway,
    forwarding_router: Option<IpAddr>,
) -> bool {
    forwarding_router.is_some_and(|address| gateway.peers.is_leaving(address))
}

/// Counts a connection as open until it is dropped.
struct CountedConnection(Arc<CallerConnections>);

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.open_count.send_modify(|count| *count -= 1);
        self.0.gateway.set_crowded(self.0.is_crowded());
    }
}
