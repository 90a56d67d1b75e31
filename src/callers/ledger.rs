use {
    super::{caller_slot::CallerSlot, ledger_log::LedgerLog},
    crate::{
        ops::{CALLER_BYTES, CALLER_DESCRIPTORS},
        policy::callers::{Usage, choose_evicted},
    },
    rustix::process::{Resource, getrlimit},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, Weak,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// The part of the process's file descriptors that callers may take: their connections, those to
/// neighbours that relay them, and one to a replica for each request that is answered. The others
/// are for the store, other routers, and connections to replicas at rest.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.75;

/// Connections are closed until this part of the limits is free, so that not each new one makes
/// others be looked at again.
const FREED_DIVISOR: u64 = 64;

/// New connections and further parts of bodies wait while more than this part of the limits is taken
/// by connections that were told to close, and for how long.
const CLEARING_DIVISOR: u64 = 16;
const CLOSING_WAIT: Duration = Duration::from_millis(1);
const MAX_CLOSING_WAITS: u32 = 200;

/// More than is needed is taken only while this part of the limits is free.
const SPARE_DIVISOR: u64 = 8;

/// How long to wait after a search that freed too little.
const SEARCH_PAUSE: Duration = Duration::from_millis(5);

/// Adds up what all connections of callers take. Whatever a caller decides on the size of is added
/// where it is taken; beyond the limits, connections that wait for their caller are closed, and
/// where that is not enough, new ones and new requests are refused.
pub struct CallerLedger {
    max_bytes: AtomicU64,
    max_descriptors: usize,
    held_elsewhere: Vec<Arc<AtomicU64>>, // totals of bodies and answers
    taken: SharedUsage,
    leaving: SharedUsage, // of `taken`, by connections that were told to close
    slots: Mutex<HashMap<u64, Weak<CallerSlot>>>, // a leaf lock
    next_id: AtomicU64,
    started: Instant,
    next_search_ms: AtomicU64, // since `started`
    log: LedgerLog,
}

/// A [`Usage`] that several threads change.
#[derive(Default)]
pub(super) struct SharedUsage {
    bytes: AtomicU64,
    descriptors: AtomicUsize,
}

impl SharedUsage {
    pub fn get(&self) -> Usage {
        Usage {
            bytes: self.bytes.load(Ordering::Relaxed),
            descriptors: self.descriptors.load(Ordering::Relaxed),
        }
    }

    pub fn add(
        &self,
        usage: Usage,
    ) {
        self.bytes.fetch_add(usage.bytes, Ordering::Relaxed);
        self.descriptors
            .fetch_add(usage.descriptors, Ordering::Relaxed);
    }

    pub fn subtract(
        &self,
        usage: Usage,
    ) {
        self.bytes.fetch_sub(usage.bytes, Ordering::Relaxed);
        self.descriptors
            .fetch_sub(usage.descriptors, Ordering::Relaxed);
    }
}

impl CallerLedger {
    /// A ledger without connections. `max_bytes` limits what they take together with the totals of
    /// `held_elsewhere`; the limit on descriptors follows from that of the process.
    pub fn new(
        max_bytes: u64,
        held_elsewhere: Vec<Arc<AtomicU64>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            max_bytes: AtomicU64::new(max_bytes),
            max_descriptors: descriptor_limit(),
            held_elsewhere,
            taken: SharedUsage::default(),
            leaving: SharedUsage::default(),
            slots: Mutex::default(),
            next_id: AtomicU64::new(0),
            started: Instant::now(),
            next_search_ms: AtomicU64::new(0),
            log: LedgerLog::default(),
        })
    }

    /// Changes the limit on memory.
    pub fn set_max_bytes(
        &self,
        max_bytes: u64,
    ) {
        self.max_bytes.store(max_bytes, Ordering::Relaxed);
    }

    /// Counts a connection that was accepted, after those that were told to close had the time to do
    /// so. `None` if there is no room for it.
    pub async fn open(self: &Arc<Self>) -> Option<Arc<CallerSlot>> {
        self.wait_for_closing().await;
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let slot = Arc::new(CallerSlot::new(self.clone(), id));
        self.slots().insert(id, Arc::downgrade(&slot));
        if self.has_room() {
            return Some(slot);
        }
        self.log.record_refused("connection");
        None
    }

    /// Gives connections that were told to close the time to do so, if they take much.
    pub(super) async fn wait_for_closing(&self) {
        for _ in 0..MAX_CLOSING_WAITS {
            if !self.is_clearing() {
                return;
            }
            tokio::time::sleep(CLOSING_WAIT).await;
        }
    }

    /// Whether callers take no more than they may, apart from connections that are being closed.
    /// Closes connections if they do.
    pub fn has_room(&self) -> bool {
        let excess = self.excess();
        if excess.is_none() {
            return true;
        }
        let now = self.now_ms();
        if now < self.next_search_ms.load(Ordering::Relaxed) {
            return false;
        }
        let mut freed = excess;
        if excess.bytes > 0 {
            freed.bytes += self.limits().bytes / FREED_DIVISOR;
        }
        if excess.descriptors > 0 {
            freed.descriptors += self.max_descriptors / FREED_DIVISOR as usize;
        }
        self.evict(freed);
        let has_room = self.excess().is_none();
        if !has_room {
            let next = now + SEARCH_PAUSE.as_millis() as u64;
            self.next_search_ms.store(next, Ordering::Relaxed);
        }
        has_room
    }

    /// Whether callers take so little that one may be given more than it needs.
    pub(super) fn has_spare_room(&self) -> bool {
        let limit = self.limits().bytes;
        self.all_taken().bytes <= limit - limit / SPARE_DIVISOR
    }

    /// Counts a request that is refused for want of room.
    pub(super) fn record_refused_request(&self) {
        self.log.record_refused("request");
    }

    /// Logs what was closed or refused since the last call, and updates the metrics.
    pub fn report(&self) {
        let (taken, limits) = (self.all_taken(), self.limits());
        metrics::gauge!(CALLER_BYTES, "what" => "taken").set(taken.bytes as f64);
        metrics::gauge!(CALLER_BYTES, "what" => "limit").set(limits.bytes as f64);
        metrics::gauge!(CALLER_DESCRIPTORS, "what" => "taken").set(taken.descriptors as f64);
        metrics::gauge!(CALLER_DESCRIPTORS, "what" => "limit").set(limits.descriptors as f64);
        self.log.write_lines(taken, limits);
    }

    /// Milliseconds since the ledger was made.
    pub(super) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub(super) fn taken(&self) -> &SharedUsage {
        &self.taken
    }

    pub(super) fn leaving(&self) -> &SharedUsage {
        &self.leaving
    }

    /// Forgets a connection. `leaving` is what it took when it was told to close.
    pub(super) fn remove(
        &self,
        id: u64,
        leaving: Usage,
    ) {
        self.leaving.subtract(leaving);
        self.slots().remove(&id);
    }

    /// Whether much of what is taken is by connections that were told to close.
    fn is_clearing(&self) -> bool {
        let (leaving, limits) = (self.leaving.get(), self.limits());
        leaving.bytes > limits.bytes / CLEARING_DIVISOR
            || leaving.descriptors > limits.descriptors / CLEARING_DIVISOR as usize
    }

    fn limits(&self) -> Usage {
        Usage {
            bytes: self.max_bytes.load(Ordering::Relaxed),
            descriptors: self.max_descriptors,
        }
    }

    fn all_taken(&self) -> Usage {
        let mut taken = self.taken.get();
        let elsewhere = self.held_elsewhere.iter();
        taken.bytes += elsewhere
            .map(|total| total.load(Ordering::Relaxed))
            .sum::<u64>();
        taken
    }

    fn excess(&self) -> Usage {
        let staying = self.all_taken().beyond(self.leaving.get());
        staying.beyond(self.limits())
    }

    /// Tells connections to close.
    fn evict(
        &self,
        excess: Usage,
    ) {
        let slots: Vec<Arc<CallerSlot>> = {
            let slots = self.slots();
            slots.values().filter_map(Weak::upgrade).collect()
        };
        let now = self.now_ms();
        let loads = slots.iter().filter_map(|slot| slot.load(now));
        for load in choose_evicted(loads, excess) {
            let Some(slot) = self.slots().get(&load.id).and_then(Weak::upgrade) else {
                continue;
            };
            // Another thread may have told it meanwhile.
            if slot.close(load.usage) {
                self.log.record_closed(load.phase);
            }
        }
    }

    fn slots(&self) -> MutexGuard<'_, HashMap<u64, Weak<CallerSlot>>> {
        self.slots.lock().expect("caller slots lock")
    }
}

/// The file descriptors that callers may take.
pub fn descriptor_limit() -> usize {
    let descriptors = getrlimit(Resource::Nofile).current;
    descriptors.map_or(usize::MAX, |count| {
        (count as f64 * CALLER_DESCRIPTOR_SHARE) as usize
    })
}
