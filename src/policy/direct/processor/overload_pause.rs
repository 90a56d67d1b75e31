use {crate::policy::Moment, std::time::Duration};

/// Accumulated time of CPU shortage after which the router pauses.
const PAUSE_AFTER: Duration = Duration::from_millis(500);

/// Time without shortage reduces the accumulated shortage by its length divided by this.
const RECOVERY_DIVISOR: u32 = 4;

/// The first pause, and the longest; each that follows soon after another is twice as long.
const PAUSE_BOUNDS: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(16));

/// A pause that begins more than this long after the last one ended counts as the first again.
const RESET_AFTER: Duration = Duration::from_secs(30);

/// Decides when an overloaded router reports itself as not ready for a while, so that the load
/// balancer sends callers elsewhere. The balancer spreads callers by a hash, so that one host may
/// get many times the load of another as long as it is ready.
#[derive(Debug, Clone, Copy, Default)]
pub struct OverloadPause {
    shortage: Duration,    // accumulated, less what recovery made up for
    paused_until: Moment,  // end of the current or last pause
    last_length: Duration, // of the current or last pause; zero before the first
}

impl OverloadPause {
    /// Records a step of time with or without CPU shortage. Returns whether the router is
    /// paused now.
    pub fn observe(
        &mut self,
        now: Moment,
        step: Duration,
        is_short: bool,
    ) -> bool {
        if now < self.paused_until {
            return true;
        }
        self.shortage = if is_short {
            self.shortage + step
        } else {
            self.shortage.saturating_sub(step / RECOVERY_DIVISOR)
        };
        if self.shortage < PAUSE_AFTER {
            return false;
        }
        let is_first =
            self.last_length.is_zero() || now.saturating_sub(self.paused_until) > RESET_AFTER;
        self.last_length = if is_first {
            PAUSE_BOUNDS.0
        } else {
            (self.last_length * 2).min(PAUSE_BOUNDS.1)
        };
        self.paused_until = now + self.last_length;
        self.shortage = Duration::ZERO;
        true
    }
}
