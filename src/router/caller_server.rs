use {
    super::{
        caller_port::answer_caller, guarded_body::GuardedBody, reply::ReplyBody, router::Router,
    },
    crate::callers::{BodyFraming, BoundedRead, CallerSlot, ConnectionUse},
    http_body_util::BodyExt,
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        io::{self, IoSlice},
        pin::{Pin, pin},
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpListener, TcpStream},
        sync::watch,
        time::timeout,
    },
};

/// How long the last bytes may take to reach their callers when the process stops.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

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
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if let Some(slot) = self.router.callers.open().await {
                        tokio::spawn(self.clone().serve(stream, slot));
                    }
                }
                Err(error) => {
                    log::warn!("cannot accept a caller's connection: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
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
        let stream = CallerStream {
            stream,
            bounded: BoundedRead::default(),
            connection: connection.clone(),
        };
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

/// A caller's connection that records what is read.
struct CallerStream {
    stream: TcpStream,
    bounded: BoundedRead,
    connection: Arc<ConnectionUse>,
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let read = this
            .bounded
            .poll(&mut this.stream, &this.connection, context, buffer);
        read.map_ok(|_| ())
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let flushed = Pin::new(&mut this.stream).poll_flush(context);
        if flushed.is_ready() {
            this.bounded.end_long_body(&this.stream, &this.connection);
        }
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
