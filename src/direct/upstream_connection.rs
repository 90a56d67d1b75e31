use {
    super::{attempt_end::AttemptEnd, sockets::watch_over},
    crate::codes::ResultCode,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header::{CONNECTION, HeaderMap},
    },
    hyper_util::rt::TokioIo,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, task::AbortHandle, time::timeout},
};

/// How long connecting may take.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// A connection is not used in the last part of the time its replica keeps it.
const KEEP_MARGIN: Duration = Duration::from_millis(700);

/// How long a connection is kept where the replica does not say.
const KEEP_UNTOLD: Duration = Duration::from_secs(8);

/// One connection to one replica. Dropping it closes it at once.
pub struct UpstreamConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    open: Arc<AtomicUsize>, // connections to the same replica
    idle_since: Instant,
    kept_for: Duration, // at rest
    closing: bool,      // the replica said so
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
        let counted = CountedOpening(Some(open));
        let stream = timeout(CONNECT_TIME, TcpStream::connect(address)).await??;
        watch_over(&stream);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to a replica: {error}");
            }
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            open: counted.keep(),
            idle_since: Instant::now(),
            kept_for: KEEP_UNTOLD,
            closing: false,
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, AttemptEnd> {
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.note_keeping(response.headers());
                Ok(response)
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let detail = format!("{:?}", error.into_error());
                Err(if unsent {
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

    /// Whether another request may be sent on it now.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() < self.kept_for
    }

    /// Whether it may be kept after an answer that was read whole.
    pub fn may_be_kept(&self) -> bool {
        !self.closing && !self.sender.is_closed()
    }

    /// It has nothing to do from now on.
    pub fn rest(&mut self) {
        self.idle_since = Instant::now();
    }

    fn note_keeping(
        &mut self,
        headers: &HeaderMap,
    ) {
        let values = headers.get_all(CONNECTION);
        let mut texts = values.iter().filter_map(|value| value.to_str().ok());
        self.closing = texts.any(|text| text.to_ascii_lowercase().contains("close"));
        let told = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(|text| {
                text.split(',')
                    .find_map(|part| part.trim().strip_prefix("timeout="))
            })
            .and_then(|seconds| seconds.trim().parse().ok());
        if let Some(seconds) = told {
            self.kept_for = Duration::from_secs(seconds).saturating_sub(KEEP_MARGIN);
        }
    }
}

/// Takes an opening back from the count unless the connection came to be.
struct CountedOpening(Option<Arc<AtomicUsize>>);

impl CountedOpening {
    fn keep(mut self) -> Arc<AtomicUsize> {
        self.0.take().expect("kept once")
    }
}

impl Drop for CountedOpening {
    fn drop(&mut self) {
        if let Some(open) = &self.0 {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
