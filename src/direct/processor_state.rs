use {
    crate::policy::{MAX_LAG, Neighbour, choose_neighbour},
    std::{
        net::SocketAddr,
        sync::{
            RwLock,
            atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Retry-After of a router that is short of processor time. The load balancer checks once a
/// second and removes a router after two failed checks; callers that return earlier reach the
/// same router again and add to its load.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(1500);

/// Whether this process gets enough processor time, and the measures taken if not.
#[derive(Default)]
pub struct ProcessorState {
    lag_ms: AtomicU64,                    // delay of timers
    busy_percent: AtomicU8,               // share of time with work for the processor
    paused: AtomicBool,                   // not ready for callers, as processor time is short
    is_over_forwarding_share: AtomicBool, // busy enough to forward connections
    neighbours: RwLock<Vec<Neighbour>>,   // that connections are forwarded to; a leaf lock
}

impl ProcessorState {
    /// The delay of timers.
    pub fn lag(&self) -> Duration {
        Duration::from_millis(self.lag_ms.load(Ordering::Relaxed))
    }

    /// Whether timers are so late that requests may be refused.
    pub fn is_lagging(&self) -> bool {
        self.lag() > MAX_LAG
    }

    /// The least Retry-After for refused callers: zero unless the router lags or is busy for more
    /// than `most_busy`, a share of its time from 0 to 1.
    pub fn min_retry_after(
        &self,
        most_busy: f64,
    ) -> Duration {
        if self.is_lagging() || f64::from(self.busy_percent()) > most_busy * 100.0 {
            OVERLOAD_RETRY_AFTER
        } else {
            Duration::ZERO
        }
    }

    /// Sets the delay of timers. Returns whether the process lags, if that changed.
    pub fn set_lag(
        &self,
        lag: Duration,
    ) -> Option<bool> {
        let was_lagging = self.is_lagging();
        self.lag_ms.store(lag.as_millis() as u64, Ordering::Relaxed);
        let is_lagging = self.is_lagging();
        (is_lagging != was_lagging).then_some(is_lagging)
    }

    /// Sets the share of time with work for the processor, 0 to 1.
    pub fn set_busy(
        &self,
        share: f64,
    ) {
        self.busy_percent
            .store((share * 100.0) as u8, Ordering::Relaxed);
    }

    /// The share of time with work for the processor, in percent.
    pub fn busy_percent(&self) -> u8 {
        self.busy_percent.load(Ordering::Relaxed)
    }

    /// Sets whether the router reports itself as not ready, so that the load balancer sends
    /// callers elsewhere. Returns whether that changed.
    pub fn set_paused(
        &self,
        paused: bool,
    ) -> bool {
        self.paused.swap(paused, Ordering::Relaxed) != paused
    }

    /// Whether the router reports itself as not ready because processor time is short.
    pub fn is_paused(&self) -> bool {
        self.paused.load(Ordering::Relaxed)
    }

    /// Sets whether the router is so busy that connections are forwarded if there is a neighbour.
    pub fn set_over_forwarding_share(
        &self,
        is_over: bool,
    ) {
        self.is_over_forwarding_share
            .store(is_over, Ordering::Relaxed);
    }

    /// Whether the router is so busy that connections are forwarded if there is a neighbour.
    pub fn is_over_forwarding_share(&self) -> bool {
        self.is_over_forwarding_share.load(Ordering::Relaxed)
    }

    /// Sets the neighbours that connections are forwarded to; none if `neighbours` is empty.
    /// Returns whether forwarding started or stopped.
    pub fn set_neighbours(
        &self,
        neighbours: Vec<Neighbour>,
    ) -> bool {
        let mut current = self.neighbours.write().expect("neighbours lock");
        let changed = current.is_empty() != neighbours.is_empty();
        *current = neighbours;
        changed
    }

    /// The neighbour that the next connection is forwarded to, if any. `draw` is a random number
    /// from 0 to 1.
    pub fn draw_neighbour(
        &self,
        draw: f64,
    ) -> Option<SocketAddr> {
        let neighbours = self.neighbours.read().expect("neighbours lock");
        choose_neighbour(&neighbours, draw)
    }

    /// Whether callers' connections are forwarded to neighbours.
    pub fn is_forwarding(&self) -> bool {
        !self.neighbours.read().expect("neighbours lock").is_empty()
    }
}
