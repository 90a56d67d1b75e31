use {
    crate::policy::{Incarnation, Moment},
    std::time::{Instant, SystemTime, UNIX_EPOCH},
};

/// The process's clock: the source of every [`Moment`].
#[derive(Debug, Clone, Copy)]
pub struct Uptime {
    started: Instant,
}

impl Uptime {
    /// Starts at zero.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Time since the start, by the monotonic clock, which goes on while the
    /// process is stopped.
    pub fn now(&self) -> Moment {
        self.started.elapsed()
    }

    /// Milliseconds of the wall clock.
    pub fn unix_millis() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64)
    }

    /// A new life of a process.
    pub fn new_incarnation() -> Incarnation {
        Incarnation::new(Self::unix_millis(), rand::random())
    }
}
