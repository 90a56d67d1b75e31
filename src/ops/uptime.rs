use {
    crate::policy::{Incarnation, Moment},
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The monotonic clock of a process and the source of each [`Moment`]. It includes the time for
/// which the machine is suspended, so that the age of data is right after a suspension. Timers
/// run by another clock, which does not include that time.
#[derive(Debug, Clone, Copy)]
pub struct Uptime {
    started: Duration, // time since boot
}

impl Uptime {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            started: since_boot(),
        }
    }

    /// Time since the start. Also advances while the process is stopped or its machine is
    /// suspended, and never goes back.
    pub fn now(&self) -> Moment {
        since_boot().saturating_sub(self.started)
    }

    /// Unix time in milliseconds, by the wall clock.
    pub fn unix_millis() -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64)
    }

    /// Creates the incarnation of a process that has just started.
    pub fn new_incarnation() -> Incarnation {
        Incarnation::new(Self::unix_millis(), rand::random())
    }
}

/// Time since the machine's boot, including the time for which it was suspended.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
