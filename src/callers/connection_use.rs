use {
    super::{caller_slot::CallerSlot, caller_socket::MAX_UNREAD_OF_LONG_BODY},
    crate::policy::callers::Phase,
    hyper::body::{Body, Incoming},
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

/// Memory of the buffers that each connection has, which are counted as part of it.
const USUAL_BUFFER_BYTES: usize = 8 << 10;

/// What a buffer beyond the usual ones takes, in multiples of its size: one that grows leaves smaller
/// ones behind, which may be of no use to others.
const GROWN_BUFFER_FACTOR: u64 = 4;

/// What a request in progress takes besides its head and body.
const REQUEST_BYTES: usize = 16 << 10;

/// What a header line takes besides its text: its places in the headers of the request and of what
/// is sent on.
const HEADER_BYTES: usize = 256;

/// A body of this size is a long one.
const LONG_BODY_BYTES: usize = 16 << 10;

/// The descriptors of a connection whose request is sent on.
const DESCRIPTORS_WHILE_SENDING: usize = 2;

/// What the trailers of a body in chunks may take.
const TRAILER_BYTES: usize = 16 << 10;

/// How the end of a request's body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// By its length in bytes.
    Length(u64),
    /// By the last of its chunks.
    Chunks,
}

impl BodyFraming {
    /// The framing of a body of which nothing was read.
    pub fn of(body: &Incoming) -> Self {
        match body.size_hint().exact() {
            _ if body.is_end_stream() => Self::Empty,
            Some(length) => Self::Length(length),
            None => Self::Chunks,
        }
    }
}

/// Follows the requests on a caller's connection, and records in its slot what they take.
pub struct ConnectionUse {
    slot: Arc<CallerSlot>,
    number: AtomicU64,          // of the last request
    is_in_progress: AtomicBool, // the last request's answer has not ended
    is_body_due: AtomicBool,    // the last request's body has not come to its end
    is_long_body: AtomicBool,   // its socket keeps as much as for a long body
    declared: AtomicUsize,      // length of the last request's body; 0 if it is not known
    since_head: AtomicUsize,    // bytes read since the last head
    unprocessed: AtomicUsize,   // bytes read since the last head or piece of a body
}

/// The body of one request, as it is read from its connection.
#[derive(Clone)]
pub struct BodyProgress {
    connection: Arc<ConnectionUse>,
    number: u64, // of the request
}

impl ConnectionUse {
    /// A connection without requests.
    pub fn new(slot: Arc<CallerSlot>) -> Arc<Self> {
        Arc::new(Self {
            slot,
            number: AtomicU64::new(0),
            is_in_progress: AtomicBool::new(false),
            is_body_due: AtomicBool::new(false),
            is_long_body: AtomicBool::new(false),
            declared: AtomicUsize::new(0),
            since_head: AtomicUsize::new(0),
            unprocessed: AtomicUsize::new(0),
        })
    }

    /// What the connection takes.
    pub fn slot(&self) -> &Arc<CallerSlot> {
        &self.slot
    }

    /// Records bytes read into a buffer with room for `spare_bytes` more.
    pub fn record_read(
        &self,
        bytes: usize,
        spare_bytes: usize,
    ) {
        self.since_head.fetch_add(bytes, Ordering::Relaxed);
        let unprocessed = self.unprocessed.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let buffered = (unprocessed + spare_bytes).saturating_sub(USUAL_BUFFER_BYTES);
        self.slot
            .set_buffered(GROWN_BUFFER_FACTOR * buffered as u64);
        if self.is_reading_head() {
            self.slot.set_phase(Phase::Receiving);
        } else if !self.is_body_due() {
            self.slot.set_sent_more();
        }
    }

    /// Whether what comes next is the head of a request, or more of one.
    pub fn is_reading_head(&self) -> bool {
        !self.is_in_progress.load(Ordering::Relaxed) && !self.is_body_due()
    }

    /// Records a request whose head was read.
    pub fn start_request(
        self: &Arc<Self>,
        header_count: usize,
        body: BodyFraming,
    ) -> BodyProgress {
        let has_body = body != BodyFraming::Empty;
        let number = self.number.fetch_add(1, Ordering::Relaxed) + 1;
        self.is_in_progress.store(true, Ordering::Relaxed);
        self.is_body_due.store(has_body, Ordering::Relaxed);
        self.since_head.store(0, Ordering::Relaxed);
        // The text of a head is kept with its headers, in a buffer of up to twice its size.
        let head_bytes = self.unprocessed.swap(0, Ordering::Relaxed);
        self.slot.set_phase(match has_body {
            true => Phase::Receiving,
            false => Phase::Answering,
        });
        let (declared, trailers) = match body {
            BodyFraming::Empty => (0, 0),
            BodyFraming::Length(length) => (length as usize, 0),
            BodyFraming::Chunks => (0, TRAILER_BYTES),
        };
        self.declared.store(declared, Ordering::Relaxed);
        let request = REQUEST_BYTES + 2 * head_bytes + HEADER_BYTES * header_count + trailers;
        self.slot.set_request(request as u64);
        BodyProgress {
            connection: self.clone(),
            number,
        }
    }

    /// Records that the last request's answer has ended.
    pub fn end_request(&self) {
        self.is_in_progress.store(false, Ordering::Relaxed);
        self.slot.set_phase(match self.is_body_due() {
            true => Phase::Refused,
            false => Phase::Idle,
        });
        self.slot.end_request();
    }

    /// Whether the last request's body has not come to its end: what comes next is part of it.
    pub fn is_body_due(&self) -> bool {
        self.is_body_due.load(Ordering::Relaxed)
    }

    /// Whether a body is due that is long by its declared length, or by what was read of it, so that
    /// more should be read at once, and there is the memory for that.
    pub fn is_long_body_due(&self) -> bool {
        let known = self.since_head.load(Ordering::Relaxed);
        let known = known.max(self.declared.load(Ordering::Relaxed));
        self.is_body_due() && known >= LONG_BODY_BYTES && self.slot.may_leave_more_unread()
    }

    /// Whether the socket keeps as much as for a long body.
    pub fn is_long_body(&self) -> bool {
        self.is_long_body.load(Ordering::Relaxed)
    }

    /// Records whether the socket keeps as much as for a long body. How much that may be is known
    /// with the next piece of the body.
    pub fn record_long_body(
        &self,
        is_long: bool,
    ) {
        self.is_long_body.store(is_long, Ordering::Relaxed);
        if !is_long {
            self.slot.set_unread(0);
        }
    }

    /// Bytes read since the last head: of a body, or of the next request.
    pub fn bytes_since_head(&self) -> usize {
        self.since_head.load(Ordering::Relaxed)
    }
}

impl BodyProgress {
    /// Records that what was read so far is processed, and that at most `due` bytes follow.
    pub fn record_piece(
        &self,
        due: u64,
    ) {
        self.connection.unprocessed.store(0, Ordering::Relaxed);
        self.connection.slot.set_buffered(0);
        if self.connection.is_long_body() {
            let unread = due.min(MAX_UNREAD_OF_LONG_BODY);
            self.connection.slot.set_unread(unread);
        }
    }

    /// Records what the pieces take that were read so far. Returns whether there is room for them,
    /// once connections that are closed for it had the time to do so.
    pub async fn record_held(
        &self,
        bytes: u64,
    ) -> bool {
        self.connection.slot.set_held(bytes).await
    }

    /// Records what the request takes besides its body, beyond what is known from its head.
    pub fn record_request(
        &self,
        more_bytes: usize,
    ) {
        self.connection.slot.add_request(more_bytes as u64);
    }

    /// Whether the request, whose head was read, may be run.
    pub fn admits_request(&self) -> bool {
        self.connection.slot.admits_request()
    }

    /// Records that the request is refused. What is still due of its body is read, and discarded.
    pub fn record_refusal(&self) {
        if self.connection.is_body_due() {
            self.connection.slot.set_phase(Phase::Refused);
        }
    }

    /// Records that the whole body was read.
    pub fn record_end(&self) {
        // The next request may have begun, whose body may be due.
        if self.connection.number.load(Ordering::Relaxed) != self.number {
            return;
        }
        self.connection.is_body_due.store(false, Ordering::Relaxed);
        let is_in_progress = self.connection.is_in_progress.load(Ordering::Relaxed);
        self.connection.slot.set_phase(match is_in_progress {
            true => Phase::Answering,
            false => Phase::Idle,
        });
    }

    /// Records that the request is sent on, with a descriptor of its own.
    pub fn record_sending(&self) {
        self.connection
            .slot
            .set_descriptors(DESCRIPTORS_WHILE_SENDING);
    }
}
