use {
    super::{SignedMoment, SuspectDigest},
    crate::policy::Moment,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Digests that are remembered, at some 60 bytes each.
const MAX_DIGESTS: usize = 4096;

/// When requests, or parts of prompts, were last answered at this router.
#[derive(Debug, Default)]
pub(super) struct LastAnswers {
    answers: HashMap<SuspectDigest, Moment>,
    order: VecDeque<(SuspectDigest, Moment)>, // each digest once, with its answer at that time
}

impl LastAnswers {
    /// Records an answer. If there are too many digests, one is forgotten that was answered long
    /// ago.
    pub fn record(
        &mut self,
        now: Moment,
        digest: SuspectDigest,
    ) {
        if self.answers.insert(digest, now).is_none() {
            self.order.push_back((digest, now));
        }
        while self.order.len() > MAX_DIGESTS {
            let Some((oldest, queued_at)) = self.order.pop_front() else {
                return;
            };
            match self.answers.get(&oldest) {
                Some(last) if *last != queued_at => self.order.push_back((oldest, *last)),
                _ => {
                    self.answers.remove(&oldest);
                }
            }
        }
    }

    /// Whether it was answered at most `time` ago.
    pub fn is_recent(
        &self,
        now: Moment,
        digest: SuspectDigest,
        time: Duration,
    ) -> bool {
        let last = self.answers.get(&digest);
        last.is_some_and(|at| now.saturating_sub(*at) <= time)
    }

    /// Whether it was answered at this moment or later.
    pub fn is_answered_since(
        &self,
        digest: SuspectDigest,
        moment: SignedMoment,
    ) -> bool {
        let last = self.answers.get(&digest);
        last.is_some_and(|at| SignedMoment::from(*at) >= moment)
    }
}
