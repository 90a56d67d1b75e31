use {
    super::gateway::Gateway,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Idle time-out while more connections are open than `max_connections`.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Tracks whether a connection is busy, and when it last was.
pub struct ConnectionActivity {
    gateway: Arc<Gateway>,
    requests: AtomicUsize,     // in progress
    last_busy_ms: AtomicUsize, // since the process started
}

/// Counts a request in progress until it is dropped.
pub struct BusyGuard(Arc<ConnectionActivity>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.touch();
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ConnectionActivity {
    /// A connection that was just opened.
    pub fn new(gateway: &Arc<Gateway>) -> Self {
        let now = gateway.now().as_millis() as usize;
        Self {
            gateway: gateway.clone(),
            requests: AtomicUsize::new(0),
            last_busy_ms: AtomicUsize::new(now),
        }
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn start_request(self: &Arc<Self>) -> BusyGuard {
        self.touch();
        self.requests.fetch_add(1, Ordering::Relaxed);
        BusyGuard(self.clone())
    }

    fn touch(&self) {
        let now = self.gateway.now().as_millis() as usize;
        self.last_busy_ms.store(now, Ordering::Relaxed);
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
        let idle = (self.gateway.now().as_millis() as usize)
            .saturating_sub(self.last_busy_ms.load(Ordering::Relaxed));
        self.requests.load(Ordering::Relaxed) == 0 && idle > timeout
    }
}
