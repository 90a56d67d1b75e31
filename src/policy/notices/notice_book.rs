use {
    super::ReplicaNotice,
    crate::{catalog::UpstreamEntry, policy::Moment},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// How long a replica's word is kept while it is not listed: entries lapse with the store
/// and return, and their replicas have said what they said.
const KEPT_UNLISTED: Duration = Duration::from_secs(600);

/// What replicas said of themselves to this process, by their start: a replica that starts
/// again under its id has said nothing yet.
#[derive(Debug, Default)]
pub struct NoticeBook {
    words: HashMap<Start, Word>,
}

/// One start of a replica: its id, and when it was, where it says so.
type Start = (Arc<str>, Option<u64>);

#[derive(Debug, Clone, Copy, Default)]
struct Word {
    leaves: bool,
    rests_until: Moment,
    unlisted_since: Option<Moment>,
}

impl NoticeBook {
    /// A replica said this in an answer. True if it is news: that it leaves, or a rest
    /// where none was under way.
    pub fn hear(
        &mut self,
        now: Moment,
        replica: &UpstreamEntry,
        notice: ReplicaNotice,
    ) -> bool {
        if notice.is_empty() {
            return false;
        }
        let word = self.words.entry(start_of(replica)).or_default();
        let is_news =
            (notice.leaves && !word.leaves) || (!notice.rest.is_zero() && now >= word.rests_until);
        word.leaves |= notice.leaves;
        word.rests_until = word.rests_until.max(now + notice.rest);
        is_news
    }

    /// Whether a replica said that it leaves.
    pub fn leaves(
        &self,
        replica: &UpstreamEntry,
    ) -> bool {
        self.word(replica).is_some_and(|word| word.leaves)
    }

    /// What is left of the rest that a replica asked for.
    pub fn rest_left(
        &self,
        now: Moment,
        replica: &UpstreamEntry,
    ) -> Duration {
        let word = self.word(replica);
        word.map_or(Duration::ZERO, |word| word.rests_until.saturating_sub(now))
    }

    /// Whether a replica may be sent a request, by its own word.
    pub fn permits(
        &self,
        now: Moment,
        replica: &UpstreamEntry,
    ) -> bool {
        !self.leaves(replica) && self.rest_left(now, replica).is_zero()
    }

    /// Takes in who is listed. What others said is forgotten after a while, and rests
    /// that are over at once.
    pub fn set_listed(
        &mut self,
        now: Moment,
        listed: &[Arc<UpstreamEntry>],
    ) {
        self.words.retain(|start, word| {
            let is_listed = listed.iter().any(|entry| start_of(entry) == *start);
            word.unlisted_since = match is_listed {
                true => None,
                false => Some(word.unlisted_since.unwrap_or(now)),
            };
            let unlisted = word.unlisted_since;
            let is_old = unlisted.is_some_and(|since| now.saturating_sub(since) > KEPT_UNLISTED);
            (word.leaves || now < word.rests_until) && !is_old
        });
    }

    fn word(
        &self,
        replica: &UpstreamEntry,
    ) -> Option<&Word> {
        // Mostly nobody has said anything, and each choice asks for each replica.
        match self.words.is_empty() {
            true => None,
            false => self.words.get(&start_of(replica)),
        }
    }
}

fn start_of(replica: &UpstreamEntry) -> Start {
    (replica.id.clone(), replica.born)
}
