use {crate::policy::Moment, std::time::Duration};

/// A process that was short of processor for this long in all asks for a pause.
const SUSTAINED: Duration = Duration::from_millis(500);

/// Time without shortage makes up for shortage at this rate.
const RECOVERY: u32 = 4;

/// The first pause, and the longest; each that follows soon is twice as long.
const PAUSES: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(16));

/// A pause this long after the last one is a first one again.
const FORGOTTEN: Duration = Duration::from_secs(30);

/// Decides when a router that has more callers than its processor serves lets the
/// balancer send them elsewhere for a while. Callers are spread by a hash,
/// so that one host may get many times what another gets, as long as it is ready.
#[derive(Debug, Clone, Copy, Default)]
pub struct OverloadPause {
    shortage: Duration, // of late
    until: Moment,
    last: Duration, // the last pause
}

impl OverloadPause {
    /// A step of time passed, short of processor or not. Whether the router
    /// pauses now.
    pub fn observe(
        &mut self,
        now: Moment,
        step: Duration,
        is_short: bool,
    ) -> bool {
        if now < self.until {
            return true;
        }
        self.shortage = if is_short {
            self.shortage + step
        } else {
            self.shortage.saturating_sub(step / RECOVERY)
        };
        if self.shortage < SUSTAINED {
            return false;
        }
        let is_first = self.last.is_zero() || now.saturating_sub(self.until) > FORGOTTEN;
        self.last = if is_first {
            PAUSES.0
        } else {
            (self.last * 2).min(PAUSES.1)
        };
        self.until = now + self.last;
        self.shortage = Duration::ZERO;
        true
    }
}
