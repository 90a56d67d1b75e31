use {super::ReplicaNotice, crate::policy::Moment, std::time::Duration};

/// Largest difference between the clocks of hosts at which incarnations of replicas can still be
/// distinguished by their start times.
const CLOCK_SKEW: Duration = Duration::from_millis(500);

/// How long a notice may apply to the next incarnation. Clocks with a larger difference must not
/// shut a replica out for longer; by then the list of upstreams is up to date.
const NEXT_INCARNATION_TIME: Duration = Duration::from_secs(60);

/// What one incarnation of a replica announced.
#[derive(Debug, Clone, Copy)]
pub struct IncarnationNotice {
    pub started_unix_ms: Option<u64>, // of the incarnation that was listed then
    pub is_leaving: bool,
    pub was_received_here: bool, // that it leaves, not only from a peer
    backoff_until: Moment,       // it wants no requests until then
    last_notice_unix_ms: u64,    // time of the last notice
    unlisted_since: Option<Moment>,
}

impl IncarnationNotice {
    /// Creates a record without notices of the incarnation that is listed.
    pub fn of(started_unix_ms: Option<u64>) -> Self {
        Self {
            started_unix_ms,
            is_leaving: false,
            was_received_here: false,
            backoff_until: Moment::ZERO,
            last_notice_unix_ms: 0,
            unlisted_since: None,
        }
    }

    /// Applies a notice of the replica. Returns whether it changes anything.
    pub fn apply(
        &mut self,
        now: Moment,
        unix_ms: u64,
        notice: ReplicaNotice,
    ) -> bool {
        let begins_backoff = !notice.backoff.is_zero() && self.backoff_remaining(now).is_zero();
        let is_change = begins_backoff || (notice.is_leaving && !self.is_leaving);
        self.is_leaving |= notice.is_leaving;
        self.was_received_here |= notice.is_leaving;
        self.backoff_until = self.backoff_until.max(now + notice.backoff);
        self.last_notice_unix_ms = unix_ms;
        is_change
    }

    /// Applies a peer's message that the replica leaves. Returns whether this was unknown.
    pub fn apply_peer_leaving(
        &mut self,
        unix_ms: u64,
    ) -> bool {
        self.last_notice_unix_ms = self.last_notice_unix_ms.max(unix_ms);
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// The remaining time for which it wants no requests.
    pub fn backoff_remaining(
        &self,
        now: Moment,
    ) -> Duration {
        self.backoff_until.saturating_sub(now)
    }

    /// Sets whether its incarnation is listed.
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

    /// For how long its incarnation has not been listed.
    pub fn unlisted_for(
        &self,
        now: Moment,
    ) -> Duration {
        let since = self.unlisted_since;
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Whether it applies to the incarnation of its replica with this start time.
    pub fn applies_to(
        &self,
        now: Moment,
        started_unix_ms: Option<u64>,
    ) -> bool {
        self.started_unix_ms == started_unix_ms || self.applies_to_next(now, started_unix_ms)
    }

    /// Whether it applies to another incarnation, which has just been listed. If that one had
    /// started before the notice was received, it was the one that sent it.
    fn applies_to_next(
        &self,
        now: Moment,
        started_unix_ms: Option<u64>,
    ) -> bool {
        let sent_by_next = started_unix_ms.is_none_or(|started_unix_ms| {
            started_unix_ms
                <= self
                    .last_notice_unix_ms
                    .saturating_add(CLOCK_SKEW.as_millis() as u64)
        });
        sent_by_next && self.unlisted_for(now) < NEXT_INCARNATION_TIME
    }
}
