use {
    super::{caller_slot::CallerSlot, caller_socket::MAX_UNREAD_OF_LONG_BODY},
    crate::policy::callers::Phase,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

/// Memory of the buffers that each connection has, which are counted as part of it.
const USUAL_BUFFER_BYTES: usize = 8 << 10;

/// What a request in progress takes besides its head and body.
const REQUEST_BYTES: usize = 16 << 10;

/// What a header line takes besides its text: its places in the headers of the request and of what
/// is sent on.
const HEADER_BYTES: usize = 256;

/// A body of which as much was read is a long one.
const LONG_BODY_BYTES: usize = 16 << 10;

/// The descriptors of a connection whose request is sent on.
const DESCRIPTORS_WHILE_SENDING: usize = 2;

/// Follows the requests on a caller's connection, and records in its slot what they take.
pub struct ConnectionUse {
    slot: Arc<CallerSlot>,
    number: AtomicU64,          // of the last request
    is_in_progress: AtomicBool, // the last request's answer has not ended
    is_body_due: AtomicBool,    // the last request's body has not come to its end
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
            since_head: AtomicUsize::new(0),
            unprocessed: AtomicUsize::new(0),
        })
    }

    /// What the connection takes.
    pub fn slot(&self) -> &Arc<CallerSlot> {
        &self.slot
    }

    /// Records bytes read into a buffer with room for `spare_bytes` more. Returns whether they are
    /// of a head.
    pub fn record_read(
        &self,
        bytes: usize,
        spare_bytes: usize,
    ) -> bool {
        self.since_head.fetch_add(bytes, Ordering::Relaxed);
        let unprocessed = self.unprocessed.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let buffered = (unprocessed + spare_bytes).saturating_sub(USUAL_BUFFER_BYTES);
        // A buffer that grows leaves a smaller one behind, which may be of no use to others.
        self.slot.set_buffered(2 * buffered as u64);
        match (
            self.is_in_progress.load(Ordering::Relaxed),
            self.is_body_due(),
        ) {
            (true, false) => self.slot.set_sent_more(),
            (false, false) => self.slot.set_phase(Phase::Receiving),
            (_, true) => return false,
        }
        !self.is_in_progress.load(Ordering::Relaxed)
    }

    /// Records a request whose head was read.
    pub fn start_request(
        self: &Arc<Self>,
        header_count: usize,
        has_body: bool,
    ) -> BodyProgress {
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
        let request = REQUEST_BYTES + 2 * head_bytes + HEADER_BYTES * header_count;
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

    /// Whether so much of a body was read, and more is due, that more should be read at once.
    pub fn is_long_body_due(&self) -> bool {
        self.is_body_due() && self.since_head.load(Ordering::Relaxed) >= LONG_BODY_BYTES
    }

    /// Records whether the socket keeps as much as for a long body.
    pub fn record_long_body(
        &self,
        is_long: bool,
    ) {
        self.slot.set_unread(match is_long {
            true => MAX_UNREAD_OF_LONG_BODY,
            false => 0,
        });
    }

    /// Bytes read since the last head: of a body, or of the next request.
    pub fn bytes_since_head(&self) -> usize {
        self.since_head.load(Ordering::Relaxed)
    }
}

impl BodyProgress {
    /// Records that what was read so far is processed.
    pub fn record_piece(&self) {
        self.connection.unprocessed.store(0, Ordering::Relaxed);
        self.connection.slot.set_buffered(0);
    }

    /// Records what the pieces take that were read so far. Returns whether there is room for them.
    pub fn record_held(
        &self,
        bytes: u64,
    ) -> bool {
        self.connection.slot.set_held(bytes)
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
