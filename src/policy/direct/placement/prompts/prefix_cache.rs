use {
    super::{KeptPart, PromptShape},
    crate::policy::{
        Moment,
        placement::{KeptChange, KeptEvent, KeptFollow, KeptNews, KeptWord},
    },
    std::collections::HashMap,
};

/// Parts that are known at most; those unused longest are forgotten beyond it.
const KNOWN_PARTS: usize = 4096;

/// Parts of one replica that are told again at most.
const MOST_AGAIN: usize = 256;

/// Tokens that fit where nothing was placed yet, and the replica itself says what it gives
/// up.
const UNTOLD_ROOM: u64 = u64::MAX;

/// What one replica is believed to keep of prompts.
///
/// Replicas give up the parts that were unused longest, so age is counted in
/// tokens: a part is believed to be there until as many tokens were placed at
/// the replica after its last use as the replica has room for. Where the replica says
/// what it takes in and gives up, that goes before; its events come late, and some never.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    used: HashMap<u64, u64>, // tokens placed at the replica when a part was last used
    placed: u64,             // tokens placed at the replica so far
    room: u64,               // tokens that fit beside running requests
    word: KeptWord,          // the replica's own
}

impl PrefixCache {
    /// Tokens that must be read there: those after the longest run of kept parts.
    pub fn uncached(
        &self,
        prompt: &PromptShape,
    ) -> u32 {
        let missing = prompt.parts.iter().skip_while(|part| self.holds(part.id));
        missing.map(|part| part.tokens).sum()
    }

    /// Whether a part is believed to be kept.
    pub fn holds(
        &self,
        part: u64,
    ) -> bool {
        let used = self.used.get(&part);
        used.is_some_and(|used| self.placed.saturating_sub(*used) < self.room)
    }

    /// Tokens were placed there, by whichever router.
    pub fn place(
        &mut self,
        tokens: u64,
    ) {
        self.placed += tokens;
    }

    /// How many tokens fit beside the running requests.
    pub fn set_room(
        &mut self,
        tokens: u64,
    ) {
        self.room = tokens;
    }

    /// The replica's own word on what it keeps, in a memory of `memory` tokens.
    /// What was noted here before is newer, and stays.
    pub fn learn(
        &mut self,
        parts: &[KeptPart],
        memory: u64,
    ) {
        if self.room == 0 {
            self.room = memory;
        }
        for kept in parts.iter().filter(|kept| kept.tokens > 0) {
            if !self.used.contains_key(&kept.part) {
                self.use_part(kept.part);
            }
        }
    }

    /// A part is used there by a request that was placed.
    pub fn note(
        &mut self,
        now: Moment,
        part: u64,
    ) {
        self.word.place(now, part);
        self.use_part(part);
    }

    /// Where the replica's events go on.
    pub fn follow(&self) -> KeptFollow {
        self.word.follow()
    }

    /// Whether some router follows the replica's events.
    pub fn is_followed(
        &self,
        now: Moment,
    ) -> bool {
        self.word.is_followed(now)
    }

    /// What fellows are to be told of news that this router heard from the replica.
    pub fn to_tell(
        &mut self,
        now: Moment,
        news: &KeptNews,
    ) -> Option<KeptNews> {
        self.word.to_tell(now, news)
    }

    /// Parts that are kept, for a router that has just started: of those that it asks for.
    pub fn news_again(
        &self,
        is_of: impl Fn(u64) -> bool,
    ) -> Option<KeptNews> {
        let follow = self.word.follow();
        let parts = self.used.keys().copied();
        let parts = parts.filter(|part| is_of(*part) && self.holds(*part));
        let events = parts.take(MOST_AGAIN).map(|part| KeptEvent {
            number: follow.next.saturating_sub(1),
            part,
            is_kept: true,
        });
        Some(KeptNews {
            epoch: follow.epoch?,
            from: follow.next,
            next: follow.next,
            has_gap: false,
            is_again: true,
            events: events.collect(),
        })
    }

    /// What the replica took in and gave up.
    pub fn hear(
        &mut self,
        now: Moment,
        news: &KeptNews,
    ) -> KeptChange {
        let heard = self.word.hear(now, news);
        if heard.is_anew {
            self.used.clear();
        }
        if self.room == 0 {
            self.room = UNTOLD_ROOM;
        }
        for part in self.word.take_gone(now) {
            self.used.remove(&part);
        }
        let all = heard.events.len();
        let events = heard.events.into_iter();
        let events = events.filter(|event| self.hear_event(now, event));
        let events: Vec<KeptEvent> = events.collect();
        KeptChange {
            heard: all,
            taken: events.iter().filter(|event| event.is_kept).count(),
            given_up: events.iter().filter(|event| !event.is_kept).count(),
            is_anew: heard.is_anew,
            news: KeptNews {
                has_gap: heard.has_gap,
                events,
                ..news.clone()
            },
        }
    }

    /// Whether an event says other than what was believed.
    fn hear_event(
        &mut self,
        now: Moment,
        event: &KeptEvent,
    ) -> bool {
        let was_known = self.used.contains_key(&event.part);
        if !event.is_kept {
            if was_known && self.word.gave_up(now, event.part) {
                self.used.remove(&event.part);
            }
            return was_known;
        }
        self.word.settle(event.part);
        let was_held = self.holds(event.part);
        if !was_held {
            self.use_part(event.part);
        }
        !was_held
    }

    fn use_part(
        &mut self,
        part: u64,
    ) {
        self.used.insert(part, self.placed);
        if self.used.len() > KNOWN_PARTS {
            self.forget_oldest();
        }
    }

    /// Forgets the quarter that was unused longest.
    fn forget_oldest(&mut self) {
        let mut ages: Vec<u64> = self.used.values().copied().collect();
        ages.sort_unstable();
        let oldest = ages[ages.len() / 4];
        self.used.retain(|_, used| *used > oldest);
    }
}
