use {
    super::{
        attempt_end::AttemptEnd,
        head_limit_stream::{HeadLimit, HeadLimitStream},
        sockets::configure_outgoing_socket,
    },
    crate::{callers::RequestBodyReader, codes::ResultCode},
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header::{CONNECTION, HeaderMap},
    },
    hyper_util::rt::TokioIo,
    socket2::{SockRef, Socket},
    std::{
        io,
        mem::MaybeUninit,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, task::AbortHandle, time::timeout},
};

/// Time-out for connecting to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection is no longer used this long before its replica closes it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// How long an idle connection is kept if the replica sends no `Keep-Alive` time-out.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(8);

/// Limit for what is read ahead on a connection, and for the head of an answer. The default of
/// 400 KB a connection is more than small hosts have for all of them.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Limit for what is read before the head of an answer, with the interim heads that may precede it
/// and what is read ahead of its body.
const MAX_HEAD_BYTES: usize = 4 * MAX_BUFFER_BYTES;

/// One connection to one replica. Dropping it closes it immediately.
pub struct UpstreamConnection {
    sender: SendRequest<RequestBodyReader>,
    socket: Socket, // a second handle to the connection's socket
    task: AbortHandle,
    head_limit: HeadLimit,
    open: Arc<AtomicUsize>, // number of connections to the replica
    idle_since: Instant,
    keep_alive: Duration, // maximum idle time
    is_unused: bool,      // no request was sent on it
    is_closing: bool,     // the replica announced `Connection: close`
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.task.abort();
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl UpstreamConnection {
    /// Connects to a replica. `open` counts the connections to it.
    pub async fn open(
        address: SocketAddr,
        open: Arc<AtomicUsize>,
    ) -> io::Result<Self> {
        open.fetch_add(1, Ordering::Relaxed);
        let count_guard = OpenCountGuard(Some(open));
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        configure_outgoing_socket(&stream);
        let socket = SockRef::from(&stream).try_clone()?;
        let head_limit = HeadLimit::unlimited();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(HeadLimitStream::new(
                stream,
                head_limit.clone(),
            )))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to a replica: {error}");
            }
        });
        Ok(Self {
            sender,
            socket,
            task: task.abort_handle(),
            head_limit,
            open: count_guard.into_count(),
            idle_since: Instant::now(),
            keep_alive: DEFAULT_KEEP_ALIVE,
            is_unused: true,
            is_closing: false,
        })
    }

    /// Sends a request and waits for the head of its answer. Distinguishes requests of which no
    /// byte was sent from those with unknown outcome.
    pub async fn send(
        &mut self,
        request: Request<RequestBodyReader>,
    ) -> Result<Response<Incoming>, AttemptEnd> {
        self.is_unused = false;
        self.head_limit.begin_head(MAX_HEAD_BYTES);
        let sent = self.sender.try_send_request(request).await;
        self.head_limit.end_head();
        match sent {
            Ok(response) => {
                self.read_keep_alive(response.headers());
                Ok(response)
            }
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let detail = format!("{:?}", error.into_error());
                Err(if is_unsent {
                    AttemptEnd::NotSent { detail }
                } else {
                    AttemptEnd::Unknown {
                        code: ResultCode::OutcomeUnknown,
                        detail,
                    }
                })
            }
        }
    }

    /// Whether no request was sent on the connection yet.
    pub fn is_unused(&self) -> bool {
        self.is_unused
    }

    /// Whether another request can be sent on the connection now, as far as is known without
    /// reading from it.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.idle_time() < self.keep_alive
    }

    /// Whether nothing arrived on the idle connection, neither bytes nor its end. The connection's
    /// task closes it then, but may not have run since.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = self.socket.peek(&mut byte);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Bytes that have arrived and may not have been read yet.
    pub fn arrived_bytes(&self) -> usize {
        let in_socket = rustix::io::ioctl_fionread(&self.socket).unwrap_or_else(|error| {
            log::debug!("connection to a replica: {error}");
            0
        });
        in_socket as usize + MAX_BUFFER_BYTES
    }

    /// Time since the last answer, or since the connection was opened.
    pub fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Whether the connection can be reused after an answer that was read completely.
    pub fn is_reusable(&self) -> bool {
        !self.is_closing && !self.sender.is_closed()
    }

    /// Starts the idle time.
    pub fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Reads from an answer's headers whether and how long the replica keeps the connection.
    fn read_keep_alive(
        &mut self,
        headers: &HeaderMap,
    ) {
        let values = headers.get_all(CONNECTION);
        let mut texts = values.iter().filter_map(|value| value.to_str().ok());
        self.is_closing = texts.any(|text| text.to_ascii_lowercase().contains("close"));
        let timeout_s = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(|text| {
                text.split(',')
                    .find_map(|part| part.trim().strip_prefix("timeout="))
            })
            .and_then(|seconds| seconds.trim().parse().ok());
        if let Some(seconds) = timeout_s {
            self.keep_alive = Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN);
        }
    }
}

/// Subtracts a connection from the count again if connecting fails.
struct OpenCountGuard(Option<Arc<AtomicUsize>>);

impl OpenCountGuard {
    fn into_count(mut self) -> Arc<AtomicUsize> {
        self.0.take().expect("count taken twice")
    }
}

impl Drop for OpenCountGuard {
    fn drop(&mut self) {
        if let Some(open) = &self.0 {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
