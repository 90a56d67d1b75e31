use {
    super::{Hold, RunEnd, ToldMoment},
    crate::policy::Moment,
    std::{cmp::Reverse, time::Duration},
};

/// Ends that are remembered of one request.
const MOST_ENDS: usize = 8;

/// Runs are one after the other also where one seems to begin this much before the other
/// ended: a report takes as long from router to router, so that ends are heard of late.
const TOLD_LATE: Duration = Duration::from_millis(100);

/// Ends of one replica within this time of each other are the same: it takes longer to come
/// back, and routers see and tell it at different moments.
const ONE_END: Duration = Duration::from_millis(800);

/// Ends of runs that had brought events for long, of which each counts as one early end.
const LATE_ENDS: usize = 2;

/// A request under which replicas ended.
#[derive(Debug, Clone)]
pub(super) struct Suspect {
    pub account: u32,          // short name
    pub ends: Vec<RunEnd>,     // by when the replica ended
    pub trial: Option<Moment>, // when it was last let through after a hold
}

impl Suspect {
    /// A request that nothing speaks against.
    pub fn new(account: u32) -> Self {
        Self {
            account,
            ends: Vec::new(),
            trial: None,
        }
    }

    /// Takes in an end. Whether that is news.
    pub fn take(
        &mut self,
        end: RunEnd,
    ) -> bool {
        if let Some(known) = self.ends.iter_mut().find(|known| known.key == end.key) {
            let is_news = end.is_excused && !known.is_excused;
            known.is_excused |= end.is_excused;
            return is_news;
        }
        self.ends.push(end);
        self.ends.sort_by_key(|end| (end.ended, end.key));
        if !end.is_excused {
            self.trial = None;
        }
        if self.ends.len() > MOST_ENDS {
            let least = (0..self.ends.len())
                .min_by_key(|index| (Reverse(self.ends[*index].is_excused), *index));
            self.ends.remove(least.expect("more than none"));
        }
        true
    }

    /// It got a whole answer: what was known against it counts no more. Whether there
    /// was anything.
    pub fn excuse(&mut self) -> bool {
        self.trial = None;
        let counted = self.ends.iter_mut().filter(|end| !end.is_excused);
        counted.map(|end| end.is_excused = true).count() > 0
    }

    /// Whether an end that another router counts, or does not, is known to be excused.
    pub fn excuses(
        &self,
        key: u32,
        is_excused_there: bool,
    ) -> bool {
        let known = self.ends.iter().find(|end| end.key == key);
        !is_excused_there && known.is_some_and(|known| known.is_excused)
    }

    /// Whether something speaks against it.
    pub fn is_suspected(&self) -> bool {
        self.ends.iter().any(|end| !end.is_excused)
    }

    /// When the last replica ended under it.
    pub fn last_end(&self) -> ToldMoment {
        let last = self.ends.last();
        last.map_or(Moment::ZERO.into(), |end| end.ended)
    }

    /// The hold that follows from its ends.
    pub fn hold(&self) -> Option<Hold> {
        let counted = self.ends.iter().filter(|end| !end.is_excused);
        let since = counted.clone().next_back()?.ended;
        let early = one_after_the_other(counted.clone().filter(|end| end.is_early));
        let all = one_after_the_other(counted);
        Hold::after(early.max(all / LATE_ENDS), since)
    }
}

/// The most runs that followed each other. Replicas that end together, each under a copy
/// of one request, say no more against it than one; nor does one replica under several.
fn one_after_the_other<'e>(ends: impl Iterator<Item = &'e RunEnd>) -> usize {
    let mut counted: Vec<&RunEnd> = Vec::new();
    for end in ends {
        let follows = counted
            .last()
            .is_none_or(|last| end.began.plus(TOLD_LATE) >= last.ended);
        let is_known = counted
            .iter()
            .any(|known| known.replica == end.replica && known.ended.plus(ONE_END) >= end.ended);
        if follows && !is_known {
            counted.push(end);
        }
    }
    counted.len()
}
