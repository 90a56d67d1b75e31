use {
    super::{ReplicaNotice, said_word::SaidWord},
    crate::{catalog::UpstreamEntry, policy::Moment},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// How long a replica's word is kept while it is not listed: entries lapse with the store
/// and return, and their replicas have said what they said.
const KEPT_UNLISTED: Duration = Duration::from_secs(600);

/// What replicas said of themselves to this process.
///
/// A word is kept for the start of the replica that was listed when it was said, and binds
/// that start only: one that has started again has said nothing yet. Where the list is
/// behind, it may have been the next start that said it; see [`SaidWord::binds`].
#[derive(Debug, Default)]
pub struct NoticeBook {
    words: HashMap<Arc<str>, Vec<SaidWord>>, // by replica, one for each start of it
}

impl NoticeBook {
    /// A replica said this in an answer, at `unix_ms` by this host's clock. True if it is
    /// news: that it leaves, or a rest where none was under way.
    pub fn hear(
        &mut self,
        now: Moment,
        unix_ms: u64,
        replica: &UpstreamEntry,
        notice: ReplicaNotice,
    ) -> bool {
        if notice.is_empty() {
            return false;
        }
        self.word_mut(replica).hear(now, unix_ms, notice)
    }

    /// A fellow heard that a replica leaves, at `unix_ms` by this host's clock. True if it
    /// is news.
    pub fn hear_of_leaving(
        &mut self,
        unix_ms: u64,
        replica: &UpstreamEntry,
    ) -> bool {
        self.word_mut(replica).hear_of_leaving(unix_ms)
    }

    /// Whether a replica said to this process that it leaves.
    pub fn heard_leaving_here(
        &self,
        replica: &UpstreamEntry,
    ) -> bool {
        let mut words = self.words_of(replica).iter();
        words.any(|word| word.born == replica.started_unix_ms && word.was_heard_here)
    }

    /// Whether a replica said that it leaves.
    pub fn leaves(
        &self,
        now: Moment,
        replica: &UpstreamEntry,
    ) -> bool {
        self.binding(now, replica).any(|word| word.leaves)
    }

    /// What is left of the rest that a replica asked for.
    pub fn rest_left(
        &self,
        now: Moment,
        replica: &UpstreamEntry,
    ) -> Duration {
        let left = self.binding(now, replica).map(|word| word.rest_left(now));
        left.max().unwrap_or_default()
    }

    /// Takes in who is listed. What others said is forgotten after a while, and rests
    /// that are over at once.
    pub fn set_listed(
        &mut self,
        now: Moment,
        listed: &[Arc<UpstreamEntry>],
    ) {
        if self.words.is_empty() {
            return;
        }
        let starts: HashMap<&str, Option<u64>> = listed
            .iter()
            .map(|entry| (&*entry.id, entry.started_unix_ms))
            .collect();
        self.words.retain(|id, words| {
            let listed = starts.get(&**id);
            words.retain_mut(|word| {
                word.set_listed(now, listed == Some(&word.born));
                word.unlisted_for(now) <= KEPT_UNLISTED
                    && (word.leaves || !word.rest_left(now).is_zero())
            });
            !words.is_empty()
        });
    }

    /// The words that bind a replica's present start.
    fn binding(
        &self,
        now: Moment,
        replica: &UpstreamEntry,
    ) -> impl Iterator<Item = &SaidWord> {
        let words = self.words_of(replica).iter();
        words.filter(move |word| word.binds(now, replica.started_unix_ms))
    }

    fn words_of(
        &self,
        replica: &UpstreamEntry,
    ) -> &[SaidWord] {
        self.words.get(&replica.id).map_or(&[], Vec::as_slice)
    }

    fn word_mut(
        &mut self,
        replica: &UpstreamEntry,
    ) -> &mut SaidWord {
        let words = self.words.entry(replica.id.clone()).or_default();
        let known = words
            .iter()
            .position(|word| word.born == replica.started_unix_ms);
        let index = known.unwrap_or_else(|| {
            words.push(SaidWord::of(replica.started_unix_ms));
            words.len() - 1
        });
        &mut words[index]
    }
}
