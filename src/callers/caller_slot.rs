use {
    super::{caller_socket::MAX_UNREAD_BYTES, ledger::CallerLedger},
    crate::policy::callers::{ConnectionLoad, Phase, Usage, eviction_class},
    std::{
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
};

/// What an open connection takes: its task, the buffers that it always has, and what may be unread
/// in its socket.
const OPEN_BYTES: u64 = (14 << 10) + MAX_UNREAD_BYTES;

/// What one connection of a caller takes of its process, counted in the ledger until this is
/// dropped.
pub struct CallerSlot {
    ledger: Arc<CallerLedger>,
    id: u64,
    phase: AtomicU8,
    since_ms: AtomicU64,          // when the phase began
    buffered: AtomicU64, // bytes of what is read and not processed, beyond the usual buffers
    request: AtomicU64,  // bytes that the request in progress takes besides its body
    unread: AtomicU64,   // bytes that may be in the socket beyond the usual
    has_sent_more: AtomicBool, // the caller has sent more behind the request in progress
    is_answer_unread: AtomicBool, // the caller has taken nothing of its answer for some time
    held: AtomicU64,     // bytes that other totals count
    descriptors: AtomicUsize,
    leaving: Mutex<Option<Usage>>, // what it took when it was told to close; a leaf lock
    closing: Notify,
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        self.ledger.taken().subtract(self.counted());
        let leaving = self.leaving().take().unwrap_or_default();
        self.ledger.remove(self.id, leaving);
    }
}

impl CallerSlot {
    pub(super) fn new(
        ledger: Arc<CallerLedger>,
        id: u64,
    ) -> Self {
        let slot = Self {
            id,
            phase: AtomicU8::new(Phase::Idle as u8),
            since_ms: AtomicU64::new(ledger.now_ms()),
            buffered: AtomicU64::new(0),
            request: AtomicU64::new(0),
            unread: AtomicU64::new(0),
            has_sent_more: AtomicBool::new(false),
            is_answer_unread: AtomicBool::new(false),
            held: AtomicU64::new(0),
            descriptors: AtomicUsize::new(1),
            leaving: Mutex::default(),
            closing: Notify::new(),
            ledger,
        };
        slot.ledger.taken().add(slot.counted());
        slot
    }

    /// Records what the connection is in the middle of.
    pub fn set_phase(
        &self,
        phase: Phase,
    ) {
        let before = self.phase.swap(phase as u8, Ordering::Relaxed);
        if before != phase as u8 {
            self.since_ms.store(self.ledger.now_ms(), Ordering::Relaxed);
        }
    }

    /// What the connection is in the middle of.
    pub fn phase(&self) -> Phase {
        Phase::from_number(self.phase.load(Ordering::Relaxed))
    }

    /// Records the bytes that were read and not processed, beyond the usual buffers.
    pub fn set_buffered(
        &self,
        bytes: u64,
    ) {
        self.set(&self.buffered, bytes);
    }

    /// Records the bytes that the request in progress takes, besides its body.
    pub fn set_request(
        &self,
        bytes: u64,
    ) {
        self.set(&self.request, bytes);
    }

    /// Adds bytes that the request in progress takes.
    pub fn add_request(
        &self,
        bytes: u64,
    ) {
        self.set_request(self.request.load(Ordering::Relaxed) + bytes);
    }

    /// Records that no request is in progress any more.
    pub fn end_request(&self) {
        self.set_request(0);
        self.has_sent_more.store(false, Ordering::Relaxed);
        self.held.store(0, Ordering::Relaxed);
        self.is_answer_unread.store(false, Ordering::Relaxed);
        self.set_descriptors(1);
    }

    /// Records that the caller has sent more behind the request in progress.
    pub fn set_sent_more(&self) {
        self.has_sent_more.store(true, Ordering::Relaxed);
    }

    /// Records whether the caller has taken nothing of its answer for some time.
    pub fn set_answer_unread(
        &self,
        is_unread: bool,
    ) {
        self.is_answer_unread.store(is_unread, Ordering::Relaxed);
    }

    /// Records the bytes that may be unread in the connection's socket beyond the usual.
    pub fn set_unread(
        &self,
        bytes: u64,
    ) {
        self.set(&self.unread, bytes);
    }

    /// Whether more bytes than usual may be left unread in the connection's socket.
    pub fn may_leave_more_unread(&self) -> bool {
        self.ledger.has_spare_room()
    }

    /// Records the bytes of its request's body, which another total counts. Returns whether there
    /// is room for them. Connections may be closed for it, and are given the time to do so.
    pub async fn set_held(
        &self,
        bytes: u64,
    ) -> bool {
        self.held.store(bytes, Ordering::Relaxed);
        let has_room = self.ledger.has_room();
        let stays = self.leaving().is_none();
        if has_room && stays {
            self.ledger.wait_for_closing().await;
        }
        has_room && stays
    }

    /// Records the descriptors that it takes, its own among them.
    pub fn set_descriptors(
        &self,
        count: usize,
    ) {
        let before = self.descriptors.swap(count, Ordering::Relaxed);
        let of = |descriptors| Usage {
            bytes: 0,
            descriptors,
        };
        self.recount(of(before), of(count));
    }

    /// Whether a request that has just come may be run. If not, it is counted as refused.
    pub fn admits_request(&self) -> bool {
        let has_room = self.ledger.has_room();
        if !has_room {
            self.ledger.record_refused_request();
        }
        has_room
    }

    /// Waits until the connection must be closed to make room for others. One that has got a request
    /// since it was told to close stays open.
    pub async fn closed(&self) {
        loop {
            if self.leaving().is_some() {
                if eviction_class(&self.current_load(self.ledger.now_ms())).is_some() {
                    return;
                }
                self.stay();
            }
            self.closing.notified().await;
        }
    }

    /// Tells the connection to close. `usage` is counted as leaving until it is gone. Returns
    /// whether it was not told before.
    pub(super) fn close(
        &self,
        usage: Usage,
    ) -> bool {
        let mut leaving = self.leaving();
        let is_new = leaving.is_none();
        if is_new {
            *leaving = Some(usage);
            self.ledger.leaving().add(usage);
            self.closing.notify_one();
        }
        is_new
    }

    /// Withdraws that it was told to close.
    fn stay(&self) {
        if let Some(usage) = self.leaving().take() {
            self.ledger.leaving().subtract(usage);
        }
    }

    fn leaving(&self) -> MutexGuard<'_, Option<Usage>> {
        self.leaving.lock().expect("leaving lock")
    }

    /// What it takes; `None` if it is being closed.
    pub(super) fn load(
        &self,
        now_ms: u64,
    ) -> Option<ConnectionLoad> {
        let is_leaving = self.leaving().is_some();
        (!is_leaving).then(|| self.current_load(now_ms))
    }

    fn current_load(
        &self,
        now_ms: u64,
    ) -> ConnectionLoad {
        let since = self.since_ms.load(Ordering::Relaxed);
        let mut usage = self.counted();
        usage.bytes += self.held.load(Ordering::Relaxed);
        ConnectionLoad {
            id: self.id,
            phase: self.phase(),
            age: Duration::from_millis(now_ms.saturating_sub(since)),
            usage,
            waits_for_caller: self.has_sent_more.load(Ordering::Relaxed)
                || self.is_answer_unread.load(Ordering::Relaxed),
        }
    }

    /// What of it the ledger counts itself.
    fn counted(&self) -> Usage {
        let parts = [&self.buffered, &self.request, &self.unread];
        let parts = parts.map(|bytes| bytes.load(Ordering::Relaxed));
        Usage {
            bytes: OPEN_BYTES + parts.iter().sum::<u64>(),
            descriptors: self.descriptors.load(Ordering::Relaxed),
        }
    }

    fn set(
        &self,
        part: &AtomicU64,
        bytes: u64,
    ) {
        let before = part.swap(bytes, Ordering::Relaxed);
        let of = |bytes| Usage {
            bytes,
            descriptors: 0,
        };
        self.recount(of(before), of(bytes));
    }

    /// Replaces a part of what the ledger counts. Where that grows, connections may be closed for it.
    fn recount(
        &self,
        before: Usage,
        now: Usage,
    ) {
        let total = self.ledger.taken();
        total.add(now);
        total.subtract(before);
        if !now.beyond(before).is_none() {
            self.ledger.has_room();
        }
    }
}
