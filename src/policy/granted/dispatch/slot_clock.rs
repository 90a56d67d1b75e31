use {crate::policy::Moment, std::time::Duration};

/// Sums the busy time of slots, in all and while requests waited.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlotClock {
    last: Moment,
    running: u32,
    contended: bool,          // requests waited, as of `last`
    busy: Duration,           // over all slots
    contended_time: Duration, // in which requests waited
    contended_busy: Duration, // over all slots, while requests waited
}

impl SlotClock {
    /// Sets the state from `now` on, and adds up the time before.
    pub fn observe(
        &mut self,
        now: Moment,
        running: usize,
        contended: bool,
    ) {
        let passed = now.saturating_sub(self.last);
        let busy = passed * self.running;
        self.busy += busy;
        if self.contended {
            self.contended_time += passed;
            self.contended_busy += busy;
        }
        self.last = now;
        self.running = running as u32;
        self.contended = contended;
    }

    /// Busy time over all slots.
    pub fn busy(&self) -> Duration {
        self.busy
    }

    /// Time in which requests waited.
    pub fn contended_time(&self) -> Duration {
        self.contended_time
    }

    /// Busy time over all slots while requests waited.
    pub fn contended_busy(&self) -> Duration {
        self.contended_busy
    }
}
