use {
    crate::policy::Moment,
    std::{sync::Mutex, time::Duration},
};

/// The longest time for which callers may follow a time-out that was replaced by a shorter one,
/// besides the time that it takes them to learn of the change.
const MAX_FORMER_TIMEOUT: Duration = Duration::from_secs(60);

/// The idle time-out of callers' connections. Callers may still follow a longer one for a while
/// after it was replaced.
#[derive(Default)]
pub struct IdleLimit(Mutex<State>); // a leaf lock

#[derive(Default)]
struct State {
    current: Option<Duration>,
    former: Vec<(Duration, Moment)>, // longer ones, and until when each may be followed
}

impl IdleLimit {
    /// Sets the configured time-out. Callers learn of a change within `notice`.
    pub fn set(
        &self,
        now: Moment,
        timeout: Duration,
        notice: Duration,
    ) {
        let mut state = self.0.lock().expect("idle limit lock");
        let Some(before) = state.current.replace(timeout) else {
            return;
        };
        if timeout < before {
            let until = now + notice + before.min(MAX_FORMER_TIMEOUT);
            state.former.push((before, until));
        }
        // Entries that end before a longer one does change nothing.
        let former = std::mem::take(&mut state.former);
        let counts = |(longest, until): &(Duration, Moment)| {
            let mut others = former.iter();
            *longest > timeout
                && *until > now
                && !others.any(|other| other.0 > *longest && other.1 >= *until)
        };
        state.former = former.iter().copied().filter(counts).collect();
    }

    /// The longest time-out that a caller may follow; `None` before one was set.
    pub fn longest(
        &self,
        now: Moment,
    ) -> Option<Duration> {
        let state = self.0.lock().expect("idle limit lock");
        let former = state.former.iter().filter(|(_, until)| *until > now);
        former
            .map(|(timeout, _)| *timeout)
            .chain(state.current)
            .max()
    }
}
