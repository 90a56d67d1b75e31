use {
    super::RequestDigest,
    crate::policy::Moment,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Answered requests that are remembered, at 24 bytes each.
const MAX_REQUESTS: usize = 2048;

/// How long a complete answer clears its request. Without this, a harmless request that is sent
/// all the time is held back when it happens to run at two replicas in a row as they crash.
const CLEARED_FOR: Duration = Duration::from_secs(60);

/// The requests that recently got a complete answer at this router.
#[derive(Debug, Default)]
pub(super) struct AnsweredRequests {
    last_answers: HashMap<RequestDigest, Moment>,
    order: VecDeque<(RequestDigest, Moment)>, // the oldest first
}

impl AnsweredRequests {
    /// Records that a request got a complete answer.
    pub fn record(
        &mut self,
        now: Moment,
        request: RequestDigest,
    ) {
        self.last_answers.insert(request, now);
        self.order.push_back((request, now));
        if self.order.len() > MAX_REQUESTS
            && let Some((oldest, at)) = self.order.pop_front()
            && self.last_answers.get(&oldest) == Some(&at)
        {
            self.last_answers.remove(&oldest);
        }
    }

    /// Whether a request got a complete answer recently.
    pub fn is_answered(
        &self,
        now: Moment,
        request: RequestDigest,
    ) -> bool {
        let last = self.last_answers.get(&request);
        last.is_some_and(|at| now.saturating_sub(*at) <= CLEARED_FOR)
    }
}
