use {
    crate::fleet::AccountId,
    crate::policy::{DemandLine, Moment},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// A count is announced again when it is this many times what remains of the last announced one,
/// or this many times less.
const CHANGE_FACTOR: u32 = 4;

/// Delay before announcing that nothing waits any more. Most often something waits again by then,
/// and the worst case is a declined grant.
const EMPTY_DELAY: Duration = Duration::from_millis(100);

/// Shortest time between announcements to a sidecar that knows of waiting requests, and so has
/// something to grant meanwhile. A more urgent request is announced at once.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// A count for which no grant has come for this long is announced again, in case the sidecar has
/// lost it.
const REFRESH_AFTER: Duration = Duration::from_secs(5);

/// Bytes on the wire for one line of demand, with its part of the message around it.
const LINE_BYTES: f64 = 40.0;

/// The requests of one account that wait at a router for one sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CurrentDemand {
    pub count: u32,
    pub deadline: Moment, // of the most urgent request
    pub oldest: Moment,   // arrival of the oldest request
}

/// The demand that a router last announced to one sidecar, from which it decides what to announce
/// next.
///
/// A long queue is announced with a large count, and again only when grants have used up most of
/// it, so that a flood of requests does not cause a flood of messages. Nor is a count announced
/// again because other sidecars took some of its requests.
#[derive(Debug, Clone, Default)]
pub struct AnnouncedDemand {
    lines: HashMap<AccountId, Announced>,
    last_announced: Moment,
    interval: Duration, // to the next announcement, by the size of the last one
}

#[derive(Debug, Clone, Copy)]
struct Announced {
    count: u32,
    granted: u32, // since the announcement
    deadline: Moment,
    empty_since: Option<Moment>, // since when nothing waits any more
    announced_at: Moment,
    granted_at: Option<Moment>, // the last grant since the announcement
}

impl Announced {
    fn remaining(&self) -> u32 {
        self.count.saturating_sub(self.granted)
    }

    fn must_announce_again(
        &self,
        now: Moment,
        count: u32,
        deadline: Moment,
    ) -> bool {
        let remaining = self.remaining();
        let last_sign = self.granted_at.unwrap_or(self.announced_at);
        let is_stale = now.saturating_sub(last_sign) >= REFRESH_AFTER;
        is_stale
            || deadline < self.deadline
            || remaining * CHANGE_FACTOR < count
            || count * CHANGE_FACTOR < remaining
    }
}

impl AnnouncedDemand {
    /// Drops all that was announced, after the sidecar has dropped it.
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

    /// Drops one account, as the sidecar drops it when a grant is declined.
    pub fn declined(
        &mut self,
        account: AccountId,
    ) {
        self.lines.remove(&account);
    }

    /// The lines that have changed enough to be announced now. `cap` is the largest count to
    /// announce, `bytes_per_second` is this sidecar's part of the router's budget for demand.
    pub fn take_due_lines(
        &mut self,
        now: Moment,
        cap: u32,
        bytes_per_second: f64,
        current: &BTreeMap<AccountId, CurrentDemand>,
    ) -> Vec<DemandLine> {
        if now.saturating_sub(self.last_announced) < self.interval && self.can_wait(current) {
            return Vec::new();
        }
        let mut lines = Vec::new();
        for (account, demand) in current {
            let count = demand.count.min(cap);
            if let Some(announced) = self.lines.get_mut(account) {
                announced.empty_since = None;
                if !announced.must_announce_again(now, count, demand.deadline) {
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
                    announced_at: now,
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
        lines.extend(self.ended_lines(now, current));
        if !lines.is_empty() {
            self.last_announced = now;
            let sending_s = lines.len() as f64 * LINE_BYTES / bytes_per_second;
            self.interval = MIN_INTERVAL.max(Duration::from_secs_f64(sending_s));
        }
        lines
    }

    /// Whether the sidecar has something to grant, and no waiting request is more urgent than
    /// all that it knows of.
    fn can_wait(
        &self,
        current: &BTreeMap<AccountId, CurrentDemand>,
    ) -> bool {
        let known = self.lines.values().filter(|line| line.remaining() > 0);
        let Some(most_urgent) = known.map(|line| line.deadline).min() else {
            return false;
        };
        current
            .values()
            .all(|demand| demand.deadline >= most_urgent)
    }

    /// Lines of accounts for which nothing has waited for a while.
    fn ended_lines(
        &mut self,
        now: Moment,
        current: &BTreeMap<AccountId, CurrentDemand>,
    ) -> Vec<DemandLine> {
        let mut lines = Vec::new();
        self.lines.retain(|account, announced| {
            if current.contains_key(account) {
                return true;
            }
            let since = *announced.empty_since.get_or_insert(now);
            if now.saturating_sub(since) < EMPTY_DELAY {
                return true;
            }
            if announced.remaining() > 0 {
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
