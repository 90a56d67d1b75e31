use {crate::policy::Moment, std::time::Duration};

/// Sums busy slot time, and apart from it the time while work waited.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlotClock {
    last: Moment,
    running: u32,
    contended: bool,          // work waited, as of `last`
    busy: Duration,           // over slots
    contended_time: Duration, // while work waited
    contended_busy: Duration, // over slots, while work waited
}

impl SlotClock {
    /// Takes in the state from `now` on.
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

    /// Busy slot time.
    pub fn busy(&self) -> Duration {
        self.busy
    }

    /// Time while work waited.
    pub fn contended_time(&self) -> Duration {
        self.contended_time
    }

    /// Busy slot time while work waited.
    pub fn contended_busy(&self) -> Duration {
        self.contended_busy
    }
}
