use {
    super::{caller_port::answer_caller, guarded_body::GuardedBody, router::Router},
    crate::callers::{BodyFraming, CallerIo, CallerSlot, ConnectionUse, ReplyBody, accept_callers},
    http_body_util::BodyExt,
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, pin::pin, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time::timeout,
    },
};

/// How long the last bytes may take to reach their callers when the process stops.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

/// The HTTP server for callers.
pub struct CallerServer {
    router: Arc<Router>,
    stopping: watch::Sender<bool>,
}

impl CallerServer {
    /// A server without connections.
    pub fn new(router: Arc<Router>) -> Arc<Self> {
        Arc::new(Self {
            router,
            stopping: watch::Sender::new(false),
        })
    }

    /// Accepts connections until the task is aborted.
    pub async fn accept(
        self: Arc<Self>,
        listener: TcpListener,
    ) {
        accept_callers(listener, &self.router.callers, |stream, _, slot| {
            tokio::spawn(self.clone().serve(stream, slot));
        })
        .await;
    }

    /// Closes each connection once its answer is sent, and waits for that.
    pub async fn stop(&self) {
        self.stopping.send_replace(true);
        if timeout(FLUSH_TIMEOUT, self.stopping.closed())
            .await
            .is_err()
        {
            log::warn!("some connections of callers are cut off");
        }
    }

    /// Serves a connection until it ends, or must make room for others.
    async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        slot: Arc<CallerSlot>,
    ) {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot set socket option: {error}");
        }
        let mut stopping = self.stopping.subscribe();
        let connection = ConnectionUse::new(slot.clone());
        let stream = CallerIo::new(stream, connection.clone());
        let service = service_fn(|request| answer(self.router.clone(), &connection, request));
        let serving = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(self.router.settings.max_head)
            .serve_connection(TokioIo::new(stream), service);
        let mut serving = pin!(serving);
        loop {
            let is_stopping = *stopping.borrow_and_update();
            if is_stopping {
                serving.as_mut().graceful_shutdown();
            }
            tokio::select! {
                ended = serving.as_mut() => {
                    if let Err(error) = ended {
                        log::debug!("connection of a caller: {error}");
                    }
                    return;
                }
                () = slot.closed() => return,
                _ = stopping.changed(), if !is_stopping => {}
            }
        }
    }
}

/// Answers one request. The answer is made in a task of its own: it must not be dropped half-way
/// when the caller leaves.
fn answer(
    router: Arc<Router>,
    connection: &Arc<ConnectionUse>,
    request: Request<Incoming>,
) -> impl Future<Output = Result<Response<ReplyBody>, Infallible>> + use<> {
    let body = BodyFraming::of(request.body());
    let progress = connection.start_request(request.headers().len(), body);
    let guard = RequestGuard(connection.clone());
    let answering = tokio::spawn(answer_caller(router, request, progress));
    async move {
        let response = answering.await.expect("panics are caught");
        Ok(response.map(|body| GuardedBody::new(body, guard).boxed_unsync()))
    }
}

/// Counts a request as in progress until it is dropped.
struct RequestGuard(Arc<ConnectionUse>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}
