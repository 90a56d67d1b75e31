use {
    super::gateway::Gateway,
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Idle time-out while more connections are open than `max_connections`.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Bytes of a request id that are kept for the log.
const MAX_LOGGED_ID_BYTES: usize = 64;

/// Tracks whether a connection is busy, and when it last was.
pub struct ConnectionActivity {
    gateway: Arc<Gateway>,
    requests: AtomicUsize,     // read, and whose answer has not begun
    answers: AtomicUsize,      // read, and whose answer has not ended
    last_busy_ms: AtomicUsize, // since the process started
    last_byte_ms: AtomicUsize, // since the process started; read or written
    unparsed: AtomicUsize,     // bytes read since the last head of a request
    unread: AtomicUsize,       // bytes in the socket when it was closed
    is_flushed: AtomicBool,    // all of the last answer was written
    closed_by_caller: AtomicBool,
    last_request_id: Mutex<String>, // a leaf lock
}

/// Counts a request without an answer until it is dropped.
pub struct BusyGuard(Arc<ConnectionActivity>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.touch();
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request as in progress until it is dropped.
pub struct AnswerGuard(Arc<ConnectionActivity>);

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.0.is_flushed.store(false, Ordering::Relaxed);
        self.0.answers.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionActivity {
    /// A connection that was just opened.
    pub fn new(gateway: &Arc<Gateway>) -> Self {
        let now = gateway.now().as_millis() as usize;
        Self {
            gateway: gateway.clone(),
            requests: AtomicUsize::new(0),
            answers: AtomicUsize::new(0),
            last_busy_ms: AtomicUsize::new(now),
            last_byte_ms: AtomicUsize::new(now),
            unparsed: AtomicUsize::new(0),
            unread: AtomicUsize::new(0),
            is_flushed: AtomicBool::new(true),
            closed_by_caller: AtomicBool::new(false),
            last_request_id: Mutex::default(),
        }
    }

    /// Records a request whose head was read. It is busy until the first guard is dropped, and
    /// in progress until the second is.
    pub fn start_request(
        self: &Arc<Self>,
        request_id: &str,
    ) -> (BusyGuard, AnswerGuard) {
        let mut last_id = self.last_request_id.lock().expect("request id lock");
        last_id.clear();
        last_id.extend(request_id.chars().take(MAX_LOGGED_ID_BYTES));
        drop(last_id);
        self.unparsed.store(0, Ordering::Relaxed);
        self.touch();
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.answers.fetch_add(1, Ordering::Relaxed);
        (BusyGuard(self.clone()), AnswerGuard(self.clone()))
    }

    /// Records bytes read; none if the caller closed the connection.
    pub fn record_read(
        &self,
        bytes: usize,
    ) {
        if bytes == 0 {
            return self.record_failure();
        }
        self.unparsed.fetch_add(bytes, Ordering::Relaxed);
        self.record_byte();
    }

    /// Records that bytes were written.
    pub fn record_written(&self) {
        self.record_byte();
    }

    /// Records that all bytes of answers up to now were written.
    pub fn record_flushed(&self) {
        self.is_flushed.store(true, Ordering::Relaxed);
    }

    /// Records that the connection ended without this router's doing.
    pub fn record_failure(&self) {
        self.closed_by_caller.store(true, Ordering::Relaxed);
    }

    /// Records the bytes in the socket when it is closed.
    pub fn record_unread(
        &self,
        bytes: usize,
    ) {
        self.unread.store(bytes, Ordering::Relaxed);
    }

    /// Whether the caller, or a failure of the network, ended the connection.
    pub fn was_closed_by_caller(&self) -> bool {
        self.closed_by_caller.load(Ordering::Relaxed)
    }

    /// Whether an answer is awaited, or not written to its end.
    pub fn is_in_progress(&self) -> bool {
        self.answers.load(Ordering::Relaxed) > 0 || !self.is_flushed.load(Ordering::Relaxed)
    }

    /// Milliseconds since the last byte was read or written.
    pub fn idle_ms(&self) -> u64 {
        let last = self.last_byte_ms.load(Ordering::Relaxed);
        self.now_ms().saturating_sub(last) as u64
    }

    /// Bytes in the socket when it was closed.
    pub fn unread_bytes(&self) -> usize {
        self.unread.load(Ordering::Relaxed)
    }

    /// Bytes read since the last head of a request: of its body, or of the next request.
    pub fn unparsed_bytes(&self) -> usize {
        self.unparsed.load(Ordering::Relaxed)
    }

    /// The id of the last request, cut if it is long; empty if there was none.
    pub fn last_request_id(&self) -> String {
        self.last_request_id
            .lock()
            .expect("request id lock")
            .clone()
    }

    /// Seconds since the process started.
    pub fn uptime_seconds(&self) -> u64 {
        self.now_ms() as u64 / 1000
    }

    fn now_ms(&self) -> usize {
        self.gateway.now().as_millis() as usize
    }

    fn touch(&self) {
        self.last_busy_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    fn record_byte(&self) {
        self.last_byte_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// Whether the connection has been idle for longer than the configured time-out, or than
    /// `CROWDED_IDLE_TIMEOUT` if `crowded`.
    pub fn is_idle_too_long(
        &self,
        crowded: bool,
    ) -> bool {
        let limits = self.gateway.catalog.config().map(|table| table.limits);
        let configured = limits.unwrap_or_default().idle_timeout;
        let timeout = if crowded {
            CROWDED_IDLE_TIMEOUT
        } else {
            configured
        }
        .as_millis() as usize;
        let idle = self
            .now_ms()
            .saturating_sub(self.last_busy_ms.load(Ordering::Relaxed));
        self.requests.load(Ordering::Relaxed) == 0 && idle > timeout
    }
}
