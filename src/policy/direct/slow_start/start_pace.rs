use {
    crate::policy::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// The time in which sends are counted: a second, and what a send may be late after it
/// was counted.
const WINDOW: Duration = Duration::from_secs(1).saturating_add(StartPace::LATEST);

/// One replica's slow start, and what this router sent there of late.
#[derive(Debug, Clone, Default)]
pub struct StartPace {
    slow_until: Moment,      // as it was told
    doubted_until: Moment,   // it may have started again, and nothing was told yet
    sends: VecDeque<Moment>, // within the window, while it was slow
}

impl StartPace {
    /// A send that leaves later than this after it was counted is not made: sends that
    /// waited for connections would leave together.
    pub const LATEST: Duration = Duration::from_millis(100);

    /// The replica says how much longer it is slow; nothing before counts.
    pub fn told(
        &mut self,
        now: Moment,
        left: Duration,
    ) {
        self.slow_until = now + left;
        self.doubted_until = Moment::ZERO;
    }

    /// The replica may have started again: it counts as slow for this long, unless it is
    /// told otherwise.
    pub fn doubt(
        &mut self,
        now: Moment,
        time: Duration,
    ) {
        self.doubted_until = self.doubted_until.max(now + time);
    }

    /// Whether it is slow, or may be.
    pub fn is_slow(
        &self,
        now: Moment,
    ) -> bool {
        now < self.slow_until.max(self.doubted_until)
    }

    /// How much longer it is slow, or may be.
    pub fn left(
        &self,
        now: Moment,
    ) -> Duration {
        let until = self.slow_until.max(self.doubted_until);
        until.saturating_sub(now)
    }

    /// Whether one more may be sent.
    pub fn has_room(
        &self,
        now: Moment,
        per_second: u32,
    ) -> bool {
        let recent = self.sends.iter().filter(|sent| is_recent(now, **sent));
        recent.count() < per_second as usize
    }

    /// One more is sent.
    pub fn sent(
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
