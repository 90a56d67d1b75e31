use {
    crate::policy::{Moment, placement::ReplicaEvidence},
    std::time::Duration,
};

/// Replicas in one datagram. At up to 29 bytes each it stays below 1,200 bytes, which fit
/// one packet.
const MAX_REPLICAS: usize = 40;

/// Replicas in each datagram that deviate most from the usual. The rest of the datagram is
/// filled with the other replicas, round robin.
const MOST_DEVIANT: usize = 20;

/// Shortest time between two evidence datagrams to the same router.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Limit on the evidence datagrams of one router to all others together. In zones with
/// more routers than that each one is sent to less often.
const MAX_DATAGRAMS_PER_SECOND: f64 = 50.0;

/// Decides when evidence is sent to the own zone, and of which replicas.
#[derive(Debug, Default)]
pub struct EvidenceSchedule {
    last_sent: Option<Moment>,
    next: usize, // position of the round robin
}

impl EvidenceSchedule {
    /// Whether evidence is due, for a zone with this many other routers.
    pub fn is_due(
        &self,
        now: Moment,
        routers: usize,
    ) -> bool {
        let paced = Duration::from_secs_f64(routers as f64 / MAX_DATAGRAMS_PER_SECOND);
        let interval = MIN_INTERVAL.max(paced);
        let is_due = |sent| now.saturating_sub(sent) >= interval;
        routers > 0 && self.last_sent.is_none_or(is_due)
    }

    /// Selects from all evidence what goes into the datagram that is sent now.
    pub fn select(
        &mut self,
        now: Moment,
        mut evidence: Vec<ReplicaEvidence>,
    ) -> Vec<ReplicaEvidence> {
        self.last_sent = Some(now);
        if evidence.len() <= MAX_REPLICAS {
            return evidence;
        }
        evidence.select_nth_unstable_by(MOST_DEVIANT, |one, other| {
            other.priority().total_cmp(&one.priority())
        });
        let mut rest = evidence.split_off(MOST_DEVIANT);
        rest.sort_unstable_by_key(|evidence| evidence.start_hash);
        let begin = self.next % rest.len();
        let count = MAX_REPLICAS - MOST_DEVIANT;
        self.next = begin + count;
        let round_robin = rest.iter().cycle().skip(begin);
        evidence.extend(round_robin.take(count.min(rest.len())));
        evidence
    }
}
