use {
    super::{
        caller_connection::CallerConnection, close_log::CloseLog, close_reason::CloseReason,
        forwarding_log::Forwarding, gateway::Gateway, idle_limit::IdleLimit,
        neighbour_connection::connect_to_neighbour, neighbour_relay::NeighbourRelay,
        sockets::configure_caller_socket,
    },
    crate::{
        callers::{CallerSlot, accept_callers, descriptor_limit},
        ops::CONNECTIONS_CLOSED,
        routing::RequestLimits,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::Interest,
        net::{TcpListener, TcpStream},
        sync::watch,
        time::timeout,
    },
};

/// How long a connection that is to be forwarded may take to send its first bytes. Later it is
/// served here.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_millis(500);

/// Open connections, in multiples of `max_connections`, beyond which idle ones are closed early.
const CROWDED_FACTOR: usize = 2;

/// Accepts, serves and closes the connections of callers.
pub struct CallerConnections {
    gateway: Arc<Gateway>,
    open_count: watch::Sender<usize>,
    closing: watch::Sender<bool>, // idle connections close now, busy ones after their answer
    idle_limit: IdleLimit,
    descriptor_limit: usize, // connections that the process's descriptors suffice for
    pub(super) close_log: CloseLog,
}

impl CallerConnections {
    /// Starts without connections.
    pub fn new(gateway: Arc<Gateway>) -> Arc<Self> {
        Arc::new(Self {
            gateway,
            open_count: watch::Sender::new(0),
            closing: watch::Sender::new(false),
            idle_limit: IdleLimit::default(),
            descriptor_limit: descriptor_limit(),
            close_log: CloseLog::default(),
        })
    }

    /// Takes the idle time-out from each configuration.
    pub async fn follow_idle_timeout(self: Arc<Self>) {
        let mut changes = self.gateway.catalog.subscribe();
        loop {
            if let Some(table) = self.gateway.catalog.config() {
                let notice = self.gateway.settings().store_pacing.apply;
                let now = self.gateway.now();
                self.idle_limit.set(now, table.limits.idle_timeout, notice);
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// The longest idle time-out that callers may follow.
    pub(super) fn idle_timeout(&self) -> Duration {
        let timeout = self.idle_limit.longest(self.gateway.now());
        timeout.unwrap_or_else(|| RequestLimits::default().idle_timeout)
    }

    /// Accepts connections until the task is aborted.
    pub async fn accept(
        self: Arc<Self>,
        listener: TcpListener,
    ) {
        accept_callers(listener, &self.gateway.callers, |stream, from, slot| {
            tokio::spawn(self.clone().serve_while_open(stream, from, slot));
        })
        .await;
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

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        *self.open_count.borrow()
    }

    /// Becomes true when idle connections are to be closed.
    pub(super) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Whether more connections are open than `max_connections`: answers then close theirs.
    fn is_crowded(&self) -> bool {
        self.open_count() > self.gateway.settings().max_connections
    }

    /// Whether so many connections are open that idle ones must be closed before their time-out:
    /// many more than `max_connections`, or so many that descriptors run short.
    pub(super) fn is_overcrowded(&self) -> bool {
        let max_connections = self.gateway.settings().max_connections;
        let bearable = (max_connections * CROWDED_FACTOR).min(self.descriptor_limit);
        self.open_count() > bearable.max(max_connections)
    }

    /// The neighbour that a new connection is forwarded to, or why it stays here. It stays while
    /// this router refuses requests before it stops.
    fn neighbour_for_new_connection(&self) -> Result<SocketAddr, Forwarding> {
        let gateway = &self.gateway;
        if gateway.is_refusing() {
            return Err(Forwarding::Refusing);
        }
        let drawn = gateway.processor.draw_neighbour(rand::random());
        drawn.ok_or_else(|| match gateway.processor.is_over_forwarding_share() {
            true => Forwarding::NoNeighbour,
            false => Forwarding::NotBusy,
        })
    }

    /// Serves a connection until it ends, or must make room for others.
    async fn serve_while_open(
        self: Arc<Self>,
        stream: TcpStream,
        from: SocketAddr,
        slot: Arc<CallerSlot>,
    ) {
        tokio::select! {
            () = self.serve_or_forward(stream, from, &slot) => {}
            () = slot.closed() => {
                let reason = CloseReason::NoRoom.name();
                metrics::counter!(CONNECTIONS_CLOSED, "reason" => reason).increment(1);
            }
        }
    }

    async fn serve_or_forward(
        self: &Arc<Self>,
        stream: TcpStream,
        from: SocketAddr,
        slot: &Arc<CallerSlot>,
    ) {
        configure_caller_socket(&stream);
        self.open_count.send_modify(|count| *count += 1);
        self.gateway.set_crowded(self.is_crowded());
        let _counted = CountedConnection(self.clone());
        if self.gateway.peers.is_neighbour(from.ip()) {
            return self.serve(stream, from, slot, true).await;
        }
        if let Err((stream, kept)) = self.forward(stream, from, slot).await {
            self.gateway.forwarding_log.record(kept);
            self.serve(stream, from, slot, false).await;
        }
    }

    async fn serve(
        self: &Arc<Self>,
        stream: TcpStream,
        from: SocketAddr,
        slot: &Arc<CallerSlot>,
        was_forwarded: bool,
    ) {
        let slot = slot.clone();
        CallerConnection::new(
            self.gateway.clone(),
            self.clone(),
            slot,
            from,
            was_forwarded,
        )
        .serve(stream)
        .await;
    }

    /// Forwards a connection to a neighbour and relays it until its end. Fails with the connection
    /// if it is to be served here, and why.
    async fn forward(
        &self,
        stream: TcpStream,
        from: SocketAddr,
        slot: &CallerSlot,
    ) -> Result<(), (TcpStream, Forwarding)> {
        if let Err(kept) = self.neighbour_for_new_connection() {
            return Err((stream, kept));
        }
        // The neighbour is checked right before the caller's first bytes are passed on.
        let first_bytes = stream.ready(Interest::READABLE);
        if timeout(FIRST_BYTES_TIMEOUT, first_bytes).await.is_err() {
            return Err((stream, Forwarding::Silent));
        }
        let neighbour = match self.neighbour_for_new_connection() {
            Ok(neighbour) => neighbour,
            Err(kept) => return Err((stream, kept)),
        };
        let started = self.gateway.now();
        let connection = match connect_to_neighbour(&self.gateway, neighbour).await {
            Ok(connection) => connection,
            Err(error) => {
                log::info!(
                    neighbour = neighbour.to_string().as_str();
                    "connection not handed on: {error}"
                );
                return Err((stream, Forwarding::CheckFailed));
            }
        };
        let connect_ms = (self.gateway.now() - started).as_millis() as u64;
        // A request whose caller disconnected while it waited here must not be run.
        let ready = stream.ready(Interest::READABLE).await;
        if ready.is_err() || ready.is_ok_and(|ready| ready.is_read_closed()) {
            return Ok(());
        }
        self.gateway.forwarding_log.record(Forwarding::Forwarded);
        log::info!(
            caller = from.to_string().as_str(), neighbour = neighbour.to_string().as_str(),
            connect_ms = connect_ms;
            "connection handed on"
        );
        let relay = NeighbourRelay::new(&self.gateway, slot, neighbour);
        let relaying = relay.run(stream, connection, self.closing.subscribe());
        if let Err(error) = Box::pin(relaying).await {
            log::debug!("connection that was handed on: {error}");
        }
        Ok(())
    }
}

/// Counts a connection as open until it is dropped.
struct CountedConnection(Arc<CallerConnections>);

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.open_count.send_modify(|count| *count -= 1);
        self.0.gateway.set_crowded(self.0.is_crowded());
    }
}
