use {
    crate::fleet::AccountId,
    crate::policy::{DemandLine, Moment},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// A count is told again when it is this many times what is left of the count
/// told, or this many times less.
const CHANGE_FACTOR: u32 = 4;

/// That nothing waits any more is told after this long: most often something
/// does again before, and until then a grant is declined at worst.
const LINGER: Duration = Duration::from_millis(100);

/// A sidecar that knows of waiting requests is told of changes at most this
/// often, unless a more urgent one arrives: it has something to grant meanwhile.
const PACE: Duration = Duration::from_millis(200);

/// A count for which no grant has come for this long is told again, in case its
/// sidecar does not know it after all.
const REFRESH: Duration = Duration::from_secs(5);

/// What a line of demand costs on its way, in bytes, with its part of the
/// message around it.
const LINE_BYTES: f64 = 40.0;

/// What waits at a router for one sidecar, of one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CurrentDemand {
    pub count: u32,
    pub deadline: Moment, // of the most urgent request
    pub oldest: Moment,   // arrival
}

/// What a router last told one sidecar, and what it must tell it now.
///
/// A deep queue is announced with a large count and not again until grants
/// have used up most of it, so a flood costs a count and not messages. Nor is
/// a count told again for what other sidecars took.
#[derive(Debug, Clone, Default)]
pub struct AnnouncedDemand {
    lines: HashMap<AccountId, Announced>,
    last_told: Moment,
    pause: Duration, // after the last message, by its size
}

#[derive(Debug, Clone, Copy)]
struct Announced {
    count: u32,
    granted: u32, // since then
    deadline: Moment,
    empty_since: Option<Moment>, // nothing waits any more
    told_at: Moment,
    granted_at: Option<Moment>, // the last grant since then
}

impl Announced {
    fn remaining(&self) -> u32 {
        self.count.saturating_sub(self.granted)
    }

    fn must_tell_again(
        &self,
        now: Moment,
        count: u32,
        deadline: Moment,
    ) -> bool {
        let remaining = self.remaining();
        let answered = self.granted_at.unwrap_or(self.told_at);
        let unanswered = now.saturating_sub(answered) >= REFRESH;
        unanswered
            || deadline < self.deadline
            || remaining * CHANGE_FACTOR < count
            || count * CHANGE_FACTOR < remaining
    }
}

impl AnnouncedDemand {
    /// Forgets what was told: the sidecar forgot it too.
    pub fn clear(&mut self) {
        self.lines.clear();
    }

    /// Counts a grant that arrived.
    pub fn granted(
        &mut self,
        now: Moment,
        account: AccountId,
    ) {
        if let Some(line) = self.lines.get_mut(&account) {
            line.granted += 1;
            line.granted_at = Some(now);
        }
    }

    /// Forgets one account: a declined grant made the sidecar forget it.
    pub fn declined(
        &mut self,
        account: AccountId,
    ) {
        self.lines.remove(&account);
    }

    /// The lines that have changed enough to be told, `cap` being the largest
    /// count told and `bytes_per_second` this sidecar's part of the router's
    /// budget for demand.
    pub fn changes(
        &mut self,
        now: Moment,
        cap: u32,
        bytes_per_second: f64,
        current: &BTreeMap<AccountId, CurrentDemand>,
    ) -> Vec<DemandLine> {
        if now.saturating_sub(self.last_told) < self.pause && self.can_wait(current) {
            return Vec::new();
        }
        let mut lines = Vec::new();
        for (account, demand) in current {
            let count = demand.count.min(cap);
            if let Some(told) = self.lines.get_mut(account) {
                told.empty_since = None;
                if !told.must_tell_again(now, count, demand.deadline) {
                    continue;
                }
            }
            self.lines.insert(
                *account,
                Announced {
                    count,
                    granted: 0,
                    deadline: demand.deadline,
                    empty_since: None,
                    told_at: now,
                    granted_at: None,
                },
            );
            lines.push(DemandLine {
                account: *account,
                count,
                patience_ms: millis(demand.deadline.saturating_sub(now)),
                waited_ms: millis(now.saturating_sub(demand.oldest)),
            });
        }
        lines.extend(self.ended(now, current));
        if !lines.is_empty() {
            self.last_told = now;
            let paid_for = lines.len() as f64 * LINE_BYTES / bytes_per_second;
            self.pause = PACE.max(Duration::from_secs_f64(paid_for));
        }
        lines
    }

    /// Whether the sidecar has something to grant, and nothing that waits is
    /// more urgent than all it knows of.
    fn can_wait(
        &self,
        current: &BTreeMap<AccountId, CurrentDemand>,
    ) -> bool {
        let known = self.lines.values().filter(|told| told.remaining() > 0);
        let Some(most_urgent) = known.map(|told| told.deadline).min() else {
            return false;
        };
        current
            .values()
            .all(|demand| demand.deadline >= most_urgent)
    }

    /// Lines of accounts for which nothing has waited for a while.
    fn ended(
        &mut self,
        now: Moment,
        current: &BTreeMap<AccountId, CurrentDemand>,
    ) -> Vec<DemandLine> {
        let mut lines = Vec::new();
        self.lines.retain(|account, told| {
            if current.contains_key(account) {
                return true;
            }
            let since = *told.empty_since.get_or_insert(now);
            if now.saturating_sub(since) < LINGER {
                return true;
            }
            if told.remaining() > 0 {
                lines.push(DemandLine {
                    account: *account,
                    count: 0,
                    patience_ms: 0,
                    waited_ms: 0,
                });
            }
            false
        });
        lines
    }
}

fn millis(duration: Duration) -> u32 {
    duration.as_millis().min(u128::from(u32::MAX)) as u32
}
