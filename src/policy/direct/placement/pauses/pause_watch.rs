use {
    crate::policy::{Moment, placement::PauseEvidence},
    std::time::Duration,
};

/// What was watched of a stream is handed in this often.
const HAND_IN: Duration = Duration::from_millis(300);

/// The pauses of one stream, until one comes over its aim: the stream is late then, and
/// what follows adds nothing.
#[derive(Debug)]
pub struct PauseWatch {
    aim: Duration,
    handed_in: Moment,
    watched: Duration, // not handed in yet
    is_broken: bool,
}

impl PauseWatch {
    /// A stream of which the first event came.
    pub fn new(
        now: Moment,
        aim: Duration,
    ) -> Self {
        Self {
            aim,
            handed_in: now,
            watched: Duration::ZERO,
            is_broken: false,
        }
    }

    /// The longest pause that is in time, while none came over it.
    pub fn aim(&self) -> Option<Duration> {
        (!self.is_broken).then_some(self.aim)
    }

    /// An event came, which the replica was waited for for this long. Gives what is to be
    /// handed in.
    pub fn event(
        &mut self,
        now: Moment,
        waited: Duration,
    ) -> Option<PauseEvidence> {
        if self.is_broken {
            return None;
        }
        self.watched += waited;
        self.is_broken = waited > self.aim;
        let is_due = now.saturating_sub(self.handed_in) >= HAND_IN;
        (self.is_broken || is_due).then(|| self.take(now))
    }

    /// A pause that is not over yet came over the aim.
    pub fn breaks(
        &mut self,
        now: Moment,
    ) -> PauseEvidence {
        self.watched += self.aim;
        self.is_broken = true;
        self.take(now)
    }

    /// The stream is over at its replica. Gives what is left to be handed in.
    pub fn end(
        &mut self,
        now: Moment,
    ) -> Option<PauseEvidence> {
        let is_left = !self.is_broken && !self.watched.is_zero();
        is_left.then(|| self.take(now))
    }

    fn take(
        &mut self,
        now: Moment,
    ) -> PauseEvidence {
        self.handed_in = now;
        PauseEvidence {
            watched_s: std::mem::take(&mut self.watched).as_secs_f32(),
            broken: f32::from(u8::from(self.is_broken)),
        }
    }
}
