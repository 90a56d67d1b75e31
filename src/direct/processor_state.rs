use {
    crate::policy::{Neighbour, choose_neighbour},
    std::{
        net::SocketAddr,
        sync::{
            RwLock,
            atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// A process that is this far behind its timers refuses requests: what it read
/// now would be sent on too late, by knowledge that is old. A fifth of the shortest
/// aims that are usual (300 ms): nobody waits longer than that for a refusal.
const MOST_LAG: Duration = Duration::from_millis(60);

/// When callers come back to a router that has more of them than its processor
/// serves. The balancer asks once a second and takes a router out that was twice
/// not ready: earlier they meet the same router, and cost it as much again.
const BUSY_RETRY: Duration = Duration::from_millis(1500);

/// Whether this router gets enough of its processor, and what it does where not.
#[derive(Default)]
pub struct ProcessorState {
    lag_ms: AtomicU64,                  // of the process behind its timers
    busy: AtomicU8,                     // part of the time with work for its processor, in percent
    paused: AtomicBool,                 // lets callers go elsewhere, being short of processor
    neighbours: RwLock<Vec<Neighbour>>, // that take callers over; a leaf lock
}

impl ProcessorState {
    /// Whether what arrives waits too long for the processor to be served.
    pub fn is_choked(&self) -> bool {
        self.lag_ms.load(Ordering::Relaxed) > MOST_LAG.as_millis() as u64
    }

    /// The least time after which callers that are refused should come back: some
    /// while where this router has more of them than its processor serves.
    /// `most_busy` is a part of its time.
    pub fn least_retry(
        &self,
        most_busy: f64,
    ) -> Duration {
        if self.is_choked() || f64::from(self.busy_percent()) > most_busy * 100.0 {
            BUSY_RETRY
        } else {
            Duration::ZERO
        }
    }

    /// Notes how far the process is behind its timers. Whether it is choked, if
    /// that changed.
    pub fn set_lag(
        &self,
        lag: Duration,
    ) -> Option<bool> {
        let before = self.is_choked();
        self.lag_ms.store(lag.as_millis() as u64, Ordering::Relaxed);
        let choked = self.is_choked();
        (choked != before).then_some(choked)
    }

    /// Notes which part of the time the process has work for its processor, 0 to 1.
    pub fn set_busy(
        &self,
        share: f64,
    ) {
        self.busy.store((share * 100.0) as u8, Ordering::Relaxed);
    }

    /// The part of the time with work for the processor, in percent.
    pub fn busy_percent(&self) -> u8 {
        self.busy.load(Ordering::Relaxed)
    }

    /// Lets callers go elsewhere, or takes them again. Whether that is new.
    pub fn set_paused(
        &self,
        paused: bool,
    ) -> bool {
        self.paused.swap(paused, Ordering::Relaxed) != paused
    }

    /// Whether callers are let go elsewhere, since the processor is short.
    pub fn is_paused(&self) -> bool {
        self.paused.load(Ordering::Relaxed)
    }

    /// Notes who takes callers over; empty where none is to. Whether it is new that
    /// someone does, or that nobody does.
    pub fn set_neighbours(
        &self,
        neighbours: Vec<Neighbour>,
    ) -> bool {
        let mut known = self.neighbours.write().expect("neighbours lock");
        let changed = known.is_empty() != neighbours.is_empty();
        *known = neighbours;
        changed
    }

    /// Who takes the next connection of a caller over, if anyone should. `draw` is
    /// from 0 to 1.
    pub fn neighbour(
        &self,
        draw: f64,
    ) -> Option<SocketAddr> {
        let known = self.neighbours.read().expect("neighbours lock");
        choose_neighbour(&known, draw)
    }

    /// Whether callers' connections are handed on.
    pub fn hands_on(&self) -> bool {
        !self.neighbours.read().expect("neighbours lock").is_empty()
    }
}
