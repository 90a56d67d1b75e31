use {
    crate::policy::{Moment, placement::ReplicaEvidence},
    std::time::Duration,
};

/// Replicas in one datagram, so that it stays within some 1,200 bytes: up to 29 each.
const REPLICAS: usize = 40;

/// Of these, those of which most is to be said; the others follow in turn.
const FOREMOST: usize = 20;

/// The shortest time between two such datagrams of one router.
const TOLD_AGAIN: Duration = Duration::from_secs(1);

/// Datagrams a second that one router sends of this at most: where its zone has many
/// routers, each is told less often, and each sees less.
const DATAGRAMS_PER_SECOND: f64 = 50.0;

/// What was told of how replicas work, and when.
#[derive(Debug, Default)]
pub struct EvidenceTurn {
    told: Option<Moment>,
    next: usize, // of the replicas, whose turn it is
}

impl EvidenceTurn {
    /// Whether so many routers are told something now.
    pub fn is_due(
        &self,
        now: Moment,
        routers: usize,
    ) -> bool {
        let paced = Duration::from_secs_f64(routers as f64 / DATAGRAMS_PER_SECOND);
        let pause = TOLD_AGAIN.max(paced);
        let is_due = |told| now.saturating_sub(told) >= pause;
        routers > 0 && self.told.is_none_or(is_due)
    }

    /// What of all that was seen goes into one datagram now.
    pub fn take(
        &mut self,
        now: Moment,
        mut seen: Vec<ReplicaEvidence>,
    ) -> Vec<ReplicaEvidence> {
        self.told = Some(now);
        if seen.len() <= REPLICAS {
            return seen;
        }
        seen.select_nth_unstable_by(FOREMOST, |one, other| {
            other.priority().total_cmp(&one.priority())
        });
        let mut rest = seen.split_off(FOREMOST);
        rest.sort_unstable_by_key(|evidence| evidence.start_hash);
        let begin = self.next % rest.len();
        let count = REPLICAS - FOREMOST;
        self.next = begin + count;
        let round = rest.iter().cycle().skip(begin);
        seen.extend(round.take(count.min(rest.len())));
        seen
    }
}
