//! How quick each replica is beside its service's engines.

use {
    super::ReplicaBoard,
    crate::policy::{
        Moment,
        placement::{
            EngineTimes, ExpectedWork, FirstToken, PaceEvidence, PaceNews, ReplicaPace,
            ReplicaView, UsualPace, Work,
        },
    },
    std::{collections::HashMap, sync::Arc},
};

/// A first token that has not come after this many times what the replica usually takes
/// is evidence before it comes.
const OVERDUE: f64 = 2.0;

/// Waits are off by this many milliseconds however short they are.
const OVERDUE_LEAST_MS: f64 = 30.0;

/// A lasting pace is news when it differs by this factor from the last news.
const NEWS: f64 = 1.5;

impl ReplicaBoard {
    /// A first token came. Gives what is believed of the service's engines if that is
    /// news. They learn what an engine of the usual pace would have taken.
    pub(super) fn learn_pace(
        &mut self,
        now: Moment,
        work: &Work,
        expected: ExpectedWork,
    ) -> Option<EngineTimes> {
        let took = now.saturating_sub(work.sent);
        let view = self.replicas.get_mut(&work.replica)?;
        let seen = FirstToken {
            tokens: work.reading,
            front_ms: expected.front_ms,
            took: took.div_f64(view.pace.lasting),
        };
        let sample = PaceEvidence::sample(took, expected.first_ms);
        view.seen.pace.see(now, sample);
        let news = self.engines.learn(&view.entry.service, seen);
        let seen = all_seen(view, now, &self.usual_paces);
        view.pace = ReplicaPace::new(seen);
        self.refresh_beliefs(now);
        news
    }

    /// What this router usually sees of a service.
    pub(super) fn usual_pace(
        &self,
        service: &str,
    ) -> UsualPace {
        self.usual_paces.get(service).copied().unwrap_or_default()
    }

    /// Replicas whose lasting pace has changed since it was last asked for, `most` of them.
    pub fn pace_news(
        &mut self,
        now: Moment,
        most: usize,
    ) -> Vec<PaceNews> {
        self.refresh_beliefs(now);
        let usual = &self.usual_paces;
        let views = self.replicas.values_mut();
        let changed = views.filter(|view| {
            let factor = view.pace.lasting / view.logged_pace;
            factor.max(1.0 / factor) >= NEWS
        });
        let news = changed.take(most).map(|view| PaceNews {
            replica: view.entry.id.clone(),
            before: std::mem::replace(&mut view.logged_pace, view.pace.lasting),
            pace: view.pace,
            samples: all_seen(view, now, usual).lasting.weight,
        });
        news.collect()
    }

    /// How many replicas take this many times longer than their service's engines.
    pub fn slower_than(
        &self,
        factor: f64,
    ) -> usize {
        let slow = self.replicas.values().filter(|view| view.pace.now > factor);
        slow.count()
    }

    /// Looks for first tokens that should have come.
    pub(super) fn note_overdue(
        &mut self,
        now: Moment,
    ) {
        for view in self.replicas.values_mut() {
            view.seen.pace.set_overdue(PaceEvidence::default());
        }
        let mut overdue: HashMap<Arc<str>, PaceEvidence> = HashMap::new();
        for work in self.works.values_mut() {
            let waited = now.saturating_sub(work.sent);
            let Some(expected) = work.expected else {
                continue;
            };
            let view = self.replicas.get(&work.replica);
            let Some(view) = view.filter(|view| view.start == work.start) else {
                continue;
            };
            let most_ms = expected.first_ms * view.pace.lasting * OVERDUE + OVERDUE_LEAST_MS;
            if waited.as_secs_f64() * 1000.0 > most_ms {
                work.overdue = Some((now, waited));
                *overdue.entry(work.replica.clone()).or_default() +=
                    PaceEvidence::overdue(waited, expected.first_ms);
            }
        }
        for (replica, overdue) in overdue {
            if let Some(view) = self.replicas.get_mut(&replica) {
                view.seen.pace.set_overdue(overdue);
            }
        }
    }
}

/// What this router and its zone have seen of a replica's pace.
pub(super) fn all_seen(
    view: &ReplicaView,
    now: Moment,
    usual: &HashMap<Arc<str>, UsualPace>,
) -> PaceEvidence {
    let usual = usual.get(&view.entry.service).copied();
    view.seen.pace.all(now, usual.unwrap_or_default())
}
