use {
    super::RequestDigest,
    crate::policy::Moment,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Answered requests that are remembered: 24 bytes each.
const MOST: usize = 2048;

/// An answer speaks for its request for this long. One request that is sent all the time
/// was at two replicas in a row as they ended, and was held back for that.
const LASTS: Duration = Duration::from_secs(60);

/// The requests that got a whole answer here lately.
#[derive(Debug, Default)]
pub(super) struct Answered {
    last: HashMap<RequestDigest, Moment>,
    order: VecDeque<(RequestDigest, Moment)>, // the oldest first
}

impl Answered {
    /// A request got a whole answer.
    pub fn note(
        &mut self,
        now: Moment,
        request: RequestDigest,
    ) {
        self.last.insert(request, now);
        self.order.push_back((request, now));
        if self.order.len() > MOST
            && let Some((oldest, at)) = self.order.pop_front()
            && self.last.get(&oldest) == Some(&at)
        {
            self.last.remove(&oldest);
        }
    }

    /// Whether a request got one lately.
    pub fn is_answered(
        &self,
        now: Moment,
        request: RequestDigest,
    ) -> bool {
        let last = self.last.get(&request);
        last.is_some_and(|at| now.saturating_sub(*at) <= LASTS)
    }
}
