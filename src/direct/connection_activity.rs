use {
    super::{close_reason::CloseReason, gateway::Gateway},
    crate::callers::{BodyFraming, BodyProgress, CallerSlot, ConnectionUse},
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Idle time-out while far too many connections are open.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Bytes of a request id that are kept for the log.
const MAX_LOGGED_ID_BYTES: usize = 64;

/// Tracks whether a connection is in use, and when it last was.
pub struct ConnectionActivity {
    gateway: Arc<Gateway>,
    connection: Arc<ConnectionUse>,
    requests: AtomicUsize,      // whose answer has not ended
    last_byte_ms: AtomicUsize,  // since the process started; read or written
    part_since_ms: AtomicUsize, // when the head that is being read began; 0 if none is
    unread: AtomicUsize,        // bytes in the socket when it was closed
    is_flushed: AtomicBool,     // all of the last answer was written
    closed_by_caller: AtomicBool,
    last_request_id: Mutex<String>, // a leaf lock
}

/// Counts a request as in progress until it is dropped.
pub struct RequestGuard(Arc<ConnectionActivity>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.is_flushed.store(false, Ordering::Relaxed);
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionActivity {
    /// A connection that was just opened.
    pub fn new(
        gateway: &Arc<Gateway>,
        slot: Arc<CallerSlot>,
    ) -> Self {
        let now = gateway.now().as_millis() as usize;
        Self {
            gateway: gateway.clone(),
            connection: ConnectionUse::new(slot),
            requests: AtomicUsize::new(0),
            last_byte_ms: AtomicUsize::new(now),
            part_since_ms: AtomicUsize::new(0),
            unread: AtomicUsize::new(0),
            is_flushed: AtomicBool::new(true),
            closed_by_caller: AtomicBool::new(false),
            last_request_id: Mutex::default(),
        }
    }

    /// Records a request whose head was read. It is in progress until the guard is dropped and
    /// all was written.
    pub fn start_request(
        self: &Arc<Self>,
        request_id: &str,
        header_count: usize,
        body: BodyFraming,
    ) -> (RequestGuard, BodyProgress) {
        let mut last_id = self.last_request_id.lock().expect("request id lock");
        last_id.clear();
        last_id.extend(request_id.chars().take(MAX_LOGGED_ID_BYTES));
        drop(last_id);
        self.part_since_ms.store(0, Ordering::Relaxed);
        self.requests.fetch_add(1, Ordering::Relaxed);
        let progress = self.connection.start_request(header_count, body);
        (RequestGuard(self.clone()), progress)
    }

    /// What the connection is used for.
    pub fn connection(&self) -> &Arc<ConnectionUse> {
        &self.connection
    }

    /// Whether the last request's body has not come to its end: what comes next is part of it.
    pub fn is_body_due(&self) -> bool {
        self.connection.is_body_due()
    }

    /// Records bytes read; none if the caller closed the connection.
    pub fn record_read(
        &self,
        bytes: usize,
    ) {
        if bytes == 0 {
            return self.record_failure();
        }
        self.record_byte();
        let is_head = self.connection.is_reading_head();
        if is_head && self.part_since_ms.load(Ordering::Relaxed) == 0 {
            let since = self.now_ms().max(1);
            self.part_since_ms.store(since, Ordering::Relaxed);
        }
    }

    /// Records that bytes were written.
    pub fn record_written(&self) {
        self.record_byte();
    }

    /// Records that all bytes of answers up to now were written.
    pub fn record_flushed(&self) {
        let was_flushed = self.is_flushed.swap(true, Ordering::Relaxed);
        if !was_flushed && !self.is_in_progress() {
            self.connection.end_request();
        }
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
        self.requests.load(Ordering::Relaxed) > 0 || !self.is_flushed.load(Ordering::Relaxed)
    }

    /// Whether an answer is not written to its end, or the head of a request not read to its end.
    pub fn is_in_use(&self) -> bool {
        self.is_in_progress() || self.part_since_ms.load(Ordering::Relaxed) > 0
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
        self.connection.bytes_since_head()
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

    fn record_byte(&self) {
        self.last_byte_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// Why a connection that is not in use should be closed now, if it should be: it was idle for
    /// longer than `idle_timeout`, or than `CROWDED_IDLE_TIMEOUT` if `overcrowded`, or the head
    /// of a request is late.
    pub fn close_reason(
        &self,
        idle_timeout: Duration,
        overcrowded: bool,
    ) -> Option<CloseReason> {
        if self.is_in_progress() {
            return None;
        }
        let limits = self.gateway.catalog.config().map(|table| table.limits);
        let limits = limits.unwrap_or_default();
        if let Some(head_age) = self.head_age() {
            return (head_age > limits.header_timeout).then_some(CloseReason::LateHead);
        }
        let idle = Duration::from_millis(self.idle_ms());
        if overcrowded && idle > CROWDED_IDLE_TIMEOUT {
            return Some(CloseReason::Crowded);
        }
        (idle > idle_timeout).then_some(CloseReason::Idle)
    }

    /// Time since the first byte of a head that is being read.
    fn head_age(&self) -> Option<Duration> {
        let since = self.part_since_ms.load(Ordering::Relaxed);
        let age = self.now_ms().saturating_sub(since) as u64;
        (since > 0).then(|| Duration::from_millis(age))
    }
}
