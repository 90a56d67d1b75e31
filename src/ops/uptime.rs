use {
    crate::policy::{Incarnation, Moment},
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The process's clock: the source of every [`Moment`]. It counts the time for which the
/// machine is suspended, so that what is known is as old as it is; timers, which only
/// wait, do not.
#[derive(Debug, Clone, Copy)]
pub struct Uptime {
    started: Duration, // since the machine's start
}

impl Uptime {
    /// Starts at zero.
    pub fn start() -> Self {
        Self {
            started: since_boot(),
        }
    }

    /// Time since the start, by a clock that goes on while the process is stopped or its
    /// machine suspended, and never goes back.
    pub fn now(&self) -> Moment {
        since_boot().saturating_sub(self.started)
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

/// Time since the machine's start, with that for which it was suspended.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
