use {
    super::{HeardEvents, KeptFollow, KeptNews},
    crate::policy::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// A part that was placed so lately may have been given up before that: its request is on
/// its way, or waits to be read.
const ON_ITS_WAY: Duration = Duration::from_secs(1);

/// A replica of which nothing was heard for so long is followed by nobody: some calls,
/// which each wait for a second at most.
const FOLLOWED_AGE: Duration = Duration::from_secs(4);

/// Where nothing changes, fellows are told that a replica is followed this often.
const TOLD_AGAIN: Duration = Duration::from_secs(1);

/// Parts placed lately that are remembered at most.
const MOST_PLACED: usize = 256;

/// Parts in doubt at most; beyond it the oldest are believed to be kept.
const MOST_DOUBTS: usize = 64;

/// The number of the first event of a memory.
const FIRST: u64 = 1;

/// How far the events of a replica's memory are known, and what they leave in doubt.
#[derive(Debug, Clone, Default)]
pub struct KeptWord {
    follow: KeptFollow,
    heard: Option<Moment>,
    placed: VecDeque<PartTime>, // lately, the oldest first
    doubts: VecDeque<PartTime>, // given up around the time at which they were placed
    told: Option<Told>,         // by this router, to its fellows
}

/// How far a router has told its fellows what it heard.
#[derive(Debug, Clone, Copy)]
struct Told {
    at: Moment,
    epoch: u32,
    next: u64,
}

/// A part, and when it was placed.
#[derive(Debug, Clone, Copy)]
struct PartTime {
    part: u64,
    placed: Moment,
}

impl PartTime {
    fn is_recent(
        &self,
        now: Moment,
    ) -> bool {
        now < self.placed + ON_ITS_WAY
    }
}

impl KeptWord {
    /// Where the events go on.
    pub fn follow(&self) -> KeptFollow {
        self.follow
    }

    /// Whether some router follows the replica's events.
    pub fn is_followed(
        &self,
        now: Moment,
    ) -> bool {
        let heard = self.heard;
        heard.is_some_and(|at| now.saturating_sub(at) <= FOLLOWED_AGE)
    }

    /// Takes in news. Those of two routers that follow at once overlap: what is known
    /// already is not given again.
    pub fn hear(
        &mut self,
        now: Moment,
        news: &KeptNews,
    ) -> HeardEvents {
        self.heard = Some(now);
        let known = self.follow;
        let is_same = known.epoch == Some(news.epoch);
        let next = if is_same { known.next } else { FIRST };
        if !is_same {
            self.doubts.clear();
        }
        let events = news
            .events
            .iter()
            .filter(|event| news.is_again || event.number >= next);
        // It was asked from beyond what it counts: an earlier answer named too high a number,
        // and its events would be taken for known until it starts again.
        let is_beyond = news.next < news.from;
        let heard = HeardEvents {
            is_anew: known.epoch.is_some() && !is_same,
            has_gap: news.has_gap || news.from > next || is_beyond,
            events: events.copied().collect(),
        };
        self.follow = KeptFollow {
            epoch: Some(news.epoch),
            next: if is_beyond {
                news.next
            } else {
                next.max(news.next)
            },
        };
        heard
    }

    /// What fellows are to be told of news that this router heard from the replica: changes
    /// at once; that the replica is followed, and how far, now and then.
    pub fn to_tell(
        &mut self,
        now: Moment,
        news: &KeptNews,
    ) -> Option<KeptNews> {
        let told = self.told.filter(|told| told.epoch == news.epoch);
        let is_recent = told.is_some_and(|told| now.saturating_sub(told.at) < TOLD_AGAIN);
        if is_recent && news.events.is_empty() && !news.has_gap {
            return None;
        }
        let from = told.map_or(news.from, |told| told.next.min(news.from));
        self.told = Some(Told {
            at: now,
            epoch: news.epoch,
            next: news.next,
        });
        Some(KeptNews {
            from,
            ..news.clone()
        })
    }

    /// A request with this part was placed.
    pub fn place(
        &mut self,
        now: Moment,
        part: u64,
    ) {
        self.settle(part);
        while let Some(first) = self.placed.front()
            && (!first.is_recent(now) || self.placed.len() >= MOST_PLACED)
        {
            self.placed.pop_front();
        }
        self.placed.push_back(PartTime { part, placed: now });
    }

    /// The replica gave a part up. False while that is in doubt, since the part was placed
    /// lately.
    pub fn gave_up(
        &mut self,
        now: Moment,
        part: u64,
    ) -> bool {
        let mut placed = self.placed.iter().rev();
        let last = placed.find(|other| other.part == part).copied();
        let Some(last) = last.filter(|last| last.is_recent(now)) else {
            return true;
        };
        self.settle(part);
        if self.doubts.len() >= MOST_DOUBTS {
            self.doubts.pop_front();
        }
        self.doubts.push_back(last);
        false
    }

    /// A part is there: whatever was heard of it before is over.
    pub fn settle(
        &mut self,
        part: u64,
    ) {
        self.doubts.retain(|doubt| doubt.part != part);
    }

    /// The parts that stayed in doubt for so long that they are gone.
    pub fn take_gone(
        &mut self,
        now: Moment,
    ) -> Vec<u64> {
        let is_gone = |doubt: &&PartTime| !doubt.is_recent(now);
        let gone = self.doubts.iter().filter(is_gone);
        let gone = gone.map(|doubt| doubt.part).collect();
        self.doubts.retain(|doubt| doubt.is_recent(now));
        gone
    }
}
