use {
    crate::policy::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// Period over which sends are counted: a second, plus the longest delay between counting a send
/// and making it.
const WINDOW: Duration = Duration::from_secs(1).saturating_add(SlowStartState::MAX_SEND_DELAY);

/// The slow start of one replica, and this router's recent sends to it.
#[derive(Debug, Clone, Default)]
pub struct SlowStartState {
    slow_until: Moment,      // as reported by the replica
    suspected_until: Moment, // it may have restarted and not reported since
    sends: VecDeque<Moment>, // within the window, during slow start
}

impl SlowStartState {
    /// The longest delay between counting a send and making it. Later sends are dropped, as
    /// sends that waited for connections would leave in a burst.
    pub const MAX_SEND_DELAY: Duration = Duration::from_millis(100);

    /// Sets the remaining time of slow start as reported by the replica, in place of earlier
    /// reports and assumptions.
    pub fn set_remaining(
        &mut self,
        now: Moment,
        remaining: Duration,
    ) {
        self.slow_until = now + remaining;
        self.suspected_until = Moment::ZERO;
    }

    /// Assumes that the replica may have restarted: it counts as slow for `time`, unless it
    /// reports otherwise.
    pub fn assume_restarted(
        &mut self,
        now: Moment,
        time: Duration,
    ) {
        self.suspected_until = self.suspected_until.max(now + time);
    }

    /// Whether the replica is in slow start, or may be.
    pub fn is_slow(
        &self,
        now: Moment,
    ) -> bool {
        now < self.slow_until.max(self.suspected_until)
    }

    /// How much longer the replica is in slow start, or may be.
    pub fn remaining(
        &self,
        now: Moment,
    ) -> Duration {
        let until = self.slow_until.max(self.suspected_until);
        until.saturating_sub(now)
    }

    /// Whether one more request may be sent under a limit of `per_second`.
    pub fn permits_send(
        &self,
        now: Moment,
        per_second: u32,
    ) -> bool {
        let recent = self.sends.iter().filter(|sent| is_recent(now, **sent));
        recent.count() < per_second as usize
    }

    /// Counts a request as sent.
    pub fn record_send(
        &mut self,
        now: Moment,
    ) {
        self.sends.retain(|sent| is_recent(now, *sent));
        self.sends.push_back(now);
    }
}

fn is_recent(
    now: Moment,
    sent: Moment,
) -> bool {
    now.saturating_sub(sent) < WINDOW
}
