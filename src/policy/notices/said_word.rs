use {super::ReplicaNotice, crate::policy::Moment, std::time::Duration};

/// By how much clocks of hosts may differ for the starts of replicas to be told apart.
const CLOCK_SKEW: Duration = Duration::from_millis(500);

/// How long a word may bind a start that it was not listed for. Clocks that are further
/// apart must not shut a replica out for longer; by then the list says what is so.
const BINDS_NEXT: Duration = Duration::from_secs(60);

/// What one start of a replica said of itself.
#[derive(Debug, Clone, Copy)]
pub struct SaidWord {
    pub born: Option<u64>, // of the start that was listed then
    pub leaves: bool,
    pub was_heard_here: bool, // and not only by a fellow
    rests_until: Moment,
    said_ms: u64, // last, unix milliseconds
    unlisted_since: Option<Moment>,
}

impl SaidWord {
    /// No word yet of the start that is listed.
    pub fn of(born: Option<u64>) -> Self {
        Self {
            born,
            leaves: false,
            was_heard_here: false,
            rests_until: Moment::ZERO,
            said_ms: 0,
            unlisted_since: None,
        }
    }

    /// The replica said this. True if it is news.
    pub fn hear(
        &mut self,
        now: Moment,
        unix_ms: u64,
        notice: ReplicaNotice,
    ) -> bool {
        let begins_rest = !notice.rest.is_zero() && self.rest_left(now).is_zero();
        let is_news = begins_rest || (notice.leaves && !self.leaves);
        self.leaves |= notice.leaves;
        self.was_heard_here |= notice.leaves;
        self.rests_until = self.rests_until.max(now + notice.rest);
        self.said_ms = unix_ms;
        is_news
    }

    /// A fellow heard that the replica leaves. True if it is news.
    pub fn hear_of_leaving(
        &mut self,
        unix_ms: u64,
    ) -> bool {
        self.said_ms = self.said_ms.max(unix_ms);
        !std::mem::replace(&mut self.leaves, true)
    }

    /// What is left of its rest.
    pub fn rest_left(
        &self,
        now: Moment,
    ) -> Duration {
        self.rests_until.saturating_sub(now)
    }

    /// Its start is listed, or is not.
    pub fn set_listed(
        &mut self,
        now: Moment,
        is_listed: bool,
    ) {
        self.unlisted_since = match is_listed {
            true => None,
            false => self.unlisted_since.or(Some(now)),
        };
    }

    /// For how long its start has not been listed.
    pub fn unlisted_for(
        &self,
        now: Moment,
    ) -> Duration {
        let since = self.unlisted_since;
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Whether it binds a start of its replica.
    pub fn binds(
        &self,
        now: Moment,
        born: Option<u64>,
    ) -> bool {
        self.born == born || self.binds_next(now, born)
    }

    /// Whether it binds another start of its replica, of which the list has just told: that
    /// one had begun when the word was said, so that it was the one to say it.
    fn binds_next(
        &self,
        now: Moment,
        born: Option<u64>,
    ) -> bool {
        let said_by_next = born
            .is_none_or(|born| born <= self.said_ms.saturating_add(CLOCK_SKEW.as_millis() as u64));
        said_by_next && self.unlisted_for(now) < BINDS_NEXT
    }
}
