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
    crate::{codes::ResultCode, ops::UNREAD_ANSWERS},
    hyper::{Version, header::CONNECTION, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        future::{Future, poll_fn},
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::net::TcpStream,
};

/// How often a connection checks whether it should be closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A caller's connection whose requests are answered here.
pub struct CallerConnection {
    gateway: Arc<Gateway>,
    connections: Arc<CallerConnections>,
    from: SocketAddr,
    forwarding_router: Option<IpAddr>, // that forwards the connection here
    activity: Arc<ConnectionActivity>,
    buffer: Arc<AnswerBuffer>,
}

impl CallerConnection {
    /// A connection without requests. `was_forwarded` if another router forwards it here.
    pub fn new(
        gateway: Arc<Gateway>,
        connections: Arc<CallerConnections>,
        from: SocketAddr,
        was_forwarded: bool,
    ) -> Self {
        Self {
            activity: Arc::new(ConnectionActivity::new(&gateway)),
            buffer: AnswerBuffer::new(gateway.clone()),
            gateway,
            connections,
            from,
            forwarding_router: was_forwarded.then(|| from.ip()),
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
    /// caller did. A connection that another router forwards is closed after its answer once
    /// that router is stopping, as its exit would cut off a later answer.
    async fn serve_requests(
        &self,
        stream: TcpStream,
    ) -> Option<CloseReason> {
        let (gateway, buffer) = (self.gateway.clone(), self.buffer.clone());
        let (activity, forwarding_router) = (self.activity.clone(), self.forwarding_router);
        let announced = Arc::new(AtomicBool::new(false));
        let requested = Arc::new(AtomicBool::new(false));
        let (announces, requests) = (announced.clone(), requested.clone());
        let service = service_fn(move |request| {
            if request.version() < Version::HTTP_11 {
                buffer.set_unframed();
            }
            let asks_to_close = request.version() < Version::HTTP_11
                || header_text(request.headers(), &CONNECTION).eq_ignore_ascii_case("close");
            requests.store(asks_to_close, Ordering::Relaxed);
            let is_check = forwarding_router.is_some() && is_neighbour_check(&request);
            let id = header_text(request.headers(), &gateway.dialect.names.request_id);
            let (busy, answering) = activity.start_request(id);
            let (gateway, buffer) = (gateway.clone(), buffer.clone());
            let announces = announces.clone();
            let closes_after_answer = is_stopping(&gateway, forwarding_router);
            // Boxed, so that an idle connection does not reserve memory for this future.
            Box::pin(async move {
                if is_check {
                    let answer = answer_neighbour_check(&gateway);
                    return Ok(answer.map(|body| CallerBody::new(buffer, body, answering)));
                }
                let answer = answer_caller(gateway, request, closes_after_answer).await;
                drop(busy);
                answer.map(|response| {
                    let closes = response.headers().contains_key(CONNECTION);
                    announces.store(closes, Ordering::Relaxed);
                    response.map(|body| CallerBody::new(buffer, body, answering))
                })
            })
        });
        let limits = self.gateway.catalog.config().map(|table| table.limits);
        let limits = limits.unwrap_or_default();
        let stream = CallerStream::new(stream, self.buffer.clone(), self.activity.clone());
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(limits.max_header_bytes.max(8192) * 2)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let mut closing = self.connections.closing();
        let mut close_reason = None;
        loop {
            let driven = poll_fn(|context| {
                let ended = connection.as_mut().poll(context);
                if ended.is_pending() {
                    self.buffer.read_ahead(context);
                }
                ended
            });
            tokio::select! {
                ended = driven => {
                    if let Err(error) = &ended {
                        log::debug!("connection of a caller: {error}");
                    }
                    return match ended {
                        Err(error) if error.is_user() => Some(CloseReason::CutAnswer),
                        Err(error) if error.is_parse() => Some(CloseReason::BadRequest),
                        Err(_) => None,
                        Ok(()) if self.activity.was_closed_by_caller() => None,
                        Ok(()) if announced.load(Ordering::Relaxed) => Some(CloseReason::Announced),
                        Ok(()) if requested.load(Ordering::Relaxed) => Some(CloseReason::Requested),
                        Ok(()) => Some(close_reason.unwrap_or(CloseReason::UnreadBody)),
                    };
                }
                changed = closing.wait_for(|closing| *closing), if close_reason.is_none() => {
                    if changed.is_err() {
                        return None;
                    }
                    close_reason = Some(CloseReason::Stopping);
                    connection.as_mut().graceful_shutdown();
                }
                () = tokio::time::sleep(IDLE_CHECK_INTERVAL) => {
                    if let Some(held_bytes) = self.buffer.aborted_bytes() {
                        log_unread(self.from, held_bytes);
                        return Some(CloseReason::UnreadAnswer);
                    }
                    if close_reason.is_none() {
                        close_reason = self.close_reason();
                        if close_reason.is_some() {
                            connection.as_mut().graceful_shutdown();
                        }
                    }
                }
            }
        }
    }

    /// Why the connection should be closed, if it should be.
    fn close_reason(&self) -> Option<CloseReason> {
        let is_crowded = self.connections.is_crowded();
        if is_stopping(&self.gateway, self.forwarding_router) {
            return Some(CloseReason::ForwarderStopping);
        }
        let is_idle = self.activity.is_idle_too_long(is_crowded);
        is_idle.then_some(match is_crowded {
            true => CloseReason::Crowded,
            false => CloseReason::Idle,
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

/// Whether the router that forwards a connection here is stopping.
fn is_stopping(
    gateway: &Gateway,
    forwarding_router: Option<IpAddr>,
) -> bool {
    forwarding_router.is_some_and(|address| gateway.peers.is_leaving(address))
}
