use {
    super::{
        answer_buffer::AnswerBuffer,
        caller_body::CallerBody,
        caller_connections::CallerConnections,
        caller_port::answer_caller,
        caller_stream::CallerStream,
        close_reason::CloseReason,
        connection_activity::ConnectionActivity,
        gateway::Gateway,
        neighbour_connection::{answer_neighbour_check, is_neighbour_check},
        request_reader::header_text,
    },
    crate::{
        callers::{BodyFraming, CallerSlot},
        codes::ResultCode,
        ops::UNREAD_ANSWERS,
    },
    hyper::{
        Request, Response, Version, body::Incoming, header::CONNECTION, server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        future::{Future, poll_fn},
        net::{IpAddr, SocketAddr},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

/// How often a connection checks whether it should be closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The same while this router stops.
const STOPPING_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a connection stays open after its last byte when it must be closed early: its last
/// answer did not announce that, and the caller may have sent the next request already.
const UNANNOUNCED_CLOSE_DELAY: Duration = Duration::from_millis(400);

/// The buffers of a connection hold heads of at least this size, even if the configuration allows
/// only shorter ones: these are refused with an answer of the router.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// A caller's connection whose requests are answered here.
pub struct CallerConnection {
    gateway: Arc<Gateway>,
    connections: Arc<CallerConnections>,
    from: SocketAddr,
    forwarding_router: Option<IpAddr>, // that forwards the connection here
    activity: Arc<ConnectionActivity>,
    buffer: Arc<AnswerBuffer>,
    announces_close: AtomicBool,    // in the next answer
    is_close_announced: AtomicBool, // in the last answer
    is_close_requested: AtomicBool, // in the last request
}

/// The end of serving requests on a connection.
enum ServeEnd {
    /// The connection is closed; by this router, if there is a reason.
    Closed(Option<CloseReason>),
    /// No request is in progress, and longer heads must be read than the buffer holds.
    LongerHeads(CallerStream),
    /// The connection is not in use and should be closed.
    Rest(CloseReason, CallerStream),
}

impl CallerConnection {
    /// A connection without requests. `was_forwarded` if another router forwards it here.
    pub fn new(
        gateway: Arc<Gateway>,
        connections: Arc<CallerConnections>,
        slot: Arc<CallerSlot>,
        from: SocketAddr,
        was_forwarded: bool,
    ) -> Self {
        Self {
            activity: Arc::new(ConnectionActivity::new(&gateway, slot)),
            buffer: AnswerBuffer::new(gateway.clone()),
            gateway,
            connections,
            from,
            forwarding_router: was_forwarded.then(|| from.ip()),
            announces_close: AtomicBool::new(false),
            is_close_announced: AtomicBool::new(false),
            is_close_requested: AtomicBool::new(false),
        }
    }

    /// Serves the connection to its end, and logs the end if it is this router's doing.
    pub async fn serve(
        self,
        stream: TcpStream,
    ) {
        if let Some(reason) = self.serve_requests(stream).await {
            self.connections
                .close_log
                .record(self.from, reason, &self.activity);
        }
    }

    /// Serves the connection to its end. Returns why this router closed it, or `None` if the
    /// caller did. Before a connection is closed, requests that have come in meanwhile are served,
    /// with an answer that announces the close.
    async fn serve_requests(
        &self,
        stream: TcpStream,
    ) -> Option<CloseReason> {
        let mut stream = CallerStream::new(stream, self.buffer.clone(), self.activity.clone());
        loop {
            let (reason, mut rested) = match self.serve_until_rest(stream).await {
                ServeEnd::Closed(reason) => return reason,
                ServeEnd::LongerHeads(rested) => {
                    stream = rested;
                    continue;
                }
                ServeEnd::Rest(reason, rested) => (reason, rested),
            };
            let is_request = reason != CloseReason::LateHead && !self.activity.is_body_due();
            if !is_request || !rested.has_bytes() {
                if let Err(error) = rested.shutdown().await {
                    log::debug!("connection of a caller: {error}");
                }
                return Some(reason);
            }
            self.announces_close.store(true, Ordering::Relaxed);
            stream = rested;
        }
    }

    /// Serves requests until the connection is closed, or should be and is not in use.
    async fn serve_until_rest(
        &self,
        stream: CallerStream,
    ) -> ServeEnd {
        let service = service_fn(|request| self.answer(request));
        let mut max_head = self.gateway.max_head_bytes();
        let served_head = *max_head.borrow_and_update();
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(served_head.max(MIN_HEAD_BYTES) * 2)
            .serve_connection(TokioIo::new(stream), service);
        let mut closing = self.connections.closing();
        loop {
            let is_closing = *closing.borrow();
            let check_interval = match is_closing {
                true => STOPPING_CHECK_INTERVAL,
                false => IDLE_CHECK_INTERVAL,
            };
            let driven = poll_fn(|context| {
                let ended = Pin::new(&mut connection).poll(context);
                if ended.is_pending() {
                    self.buffer.read_ahead(context);
                }
                ended
            });
            tokio::select! {
                ended = driven => return ServeEnd::Closed(self.reason_of(ended)),
                changed = closing.changed(), if !is_closing => {
                    if changed.is_err() {
                        return ServeEnd::Closed(None);
                    }
                }
                changed = max_head.changed() => {
                    if changed.is_err() {
                        return ServeEnd::Closed(None);
                    }
                }
                () = tokio::time::sleep(check_interval) => {
                    let slot = self.activity.connection().slot();
                    slot.set_answer_unread(self.buffer.is_unread());
                    if let Some(held_bytes) = self.buffer.aborted_bytes() {
                        log_unread(self.from, held_bytes);
                        return ServeEnd::Closed(Some(CloseReason::UnreadAnswer));
                    }
                }
            }
            let reason = self.close_reason(*closing.borrow());
            // What follows a body that is still due can only be read by the reader of that body.
            let is_between_requests =
                !self.activity.is_in_progress() && !self.activity.is_body_due();
            let is_buffer_too_short = *max_head.borrow() > served_head && is_between_requests;
            if reason.is_some() || is_buffer_too_short {
                let parts = connection.into_parts();
                let mut stream = parts.io.into_inner();
                stream.unread(parts.read_buf);
                return match reason {
                    Some(reason) => ServeEnd::Rest(reason, stream),
                    None => ServeEnd::LongerHeads(stream),
                };
            }
        }
    }

    /// Answers one request.
    fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Pin<Box<impl Future<Output = Result<Response<CallerBody>, Infallible>> + use<'_>>> {
        let closes = header_text(request.headers(), &CONNECTION).eq_ignore_ascii_case("close");
        let is_old = request.version() < Version::HTTP_11;
        self.is_close_requested
            .store(closes || is_old, Ordering::Relaxed);
        if is_old {
            self.buffer.set_unframed();
        }
        let id = header_text(request.headers(), &self.gateway.dialect.names.request_id);
        let (in_progress, progress) = self.activity.start_request(
            id,
            request.headers().len(),
            BodyFraming::of(request.body()),
        );
        // Boxed, so that an idle connection does not reserve memory for this future.
        Box::pin(async move {
            let buffer = self.buffer.clone();
            if self.forwarding_router.is_some() && is_neighbour_check(&request) {
                let answer = answer_neighbour_check(&self.gateway);
                return Ok(answer.map(|body| CallerBody::new(buffer, body, in_progress)));
            }
            let closes =
                self.announces_close.load(Ordering::Relaxed) || self.is_forwarder_stopping();
            let response = answer_caller(self.gateway.clone(), request, progress, closes).await?;
            let is_announced = response.headers().contains_key(CONNECTION);
            self.is_close_announced
                .store(is_announced, Ordering::Relaxed);
            Ok(response.map(|body| CallerBody::new(buffer, body, in_progress)))
        })
    }

    /// Why the connection should be closed now, if it should be. While this router stops, or the
    /// one that forwards the connection, it is closed soon after it was in use.
    fn close_reason(
        &self,
        is_closing: bool,
    ) -> Option<CloseReason> {
        let idle = Duration::from_millis(self.activity.idle_ms());
        if !self.activity.is_in_use() && idle >= UNANNOUNCED_CLOSE_DELAY {
            if is_closing {
                return Some(CloseReason::Stopping);
            }
            if self.is_forwarder_stopping() {
                return Some(CloseReason::ForwarderStopping);
            }
        }
        let idle_timeout = self.connections.idle_timeout();
        self.activity
            .close_reason(idle_timeout, self.connections.is_overcrowded())
    }

    /// Whether the router that forwards the connection here is stopping: its exit would cut off
    /// a later answer.
    fn is_forwarder_stopping(&self) -> bool {
        self.forwarding_router
            .is_some_and(|address| self.gateway.peers.is_leaving(address))
    }

    /// Why this router closed a connection that ended so; `None` if it did not.
    fn reason_of(
        &self,
        ended: hyper::Result<()>,
    ) -> Option<CloseReason> {
        if let Err(error) = ended {
            log::debug!("connection of a caller: {error}");
            return match () {
                () if error.is_user() => Some(CloseReason::CutAnswer),
                () if error.is_parse() => Some(CloseReason::BadRequest),
                () => None,
            };
        }
        if self.activity.was_closed_by_caller() {
            return None;
        }
        if self.is_close_announced.load(Ordering::Relaxed) {
            return Some(CloseReason::Announced);
        }
        Some(match self.is_close_requested.load(Ordering::Relaxed) {
            true => CloseReason::Requested,
            false => CloseReason::UnreadBody,
        })
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
