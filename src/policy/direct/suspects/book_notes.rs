//! What routers tell each other of requests under which replicas ended.

use {
    super::{EndNote, Hold, RequestDigest, SuspectBook, SuspectNote, suspect::Suspect},
    crate::policy::{Moment, TellerScope},
    std::collections::{BTreeMap, BTreeSet},
};

/// How often what was learnt is told: a datagram may be lost.
const TELLINGS: u8 = 2;

/// Requests that are told of at once, in some four datagrams.
const MOST_TOLD: usize = 32;

impl SuspectBook {
    /// Something was learnt of a request at this router.
    pub(super) fn note_news(
        &mut self,
        request: RequestDigest,
    ) {
        self.news.insert(request, TELLINGS);
        self.zone_news.insert(request, TELLINGS);
    }

    /// Takes in what others know. Gives the requests that are held back by it and were
    /// not before.
    pub fn hear(
        &mut self,
        now: Moment,
        scope: TellerScope,
        notes: &[SuspectNote],
    ) -> Vec<(RequestDigest, Hold)> {
        let heard = notes.iter().filter_map(|note| {
            let hold = self.hear_one(now, scope, note)?;
            Some((note.request, hold))
        });
        heard.collect()
    }

    fn hear_one(
        &mut self,
        now: Moment,
        scope: TellerScope,
        note: &SuspectNote,
    ) -> Option<Hold> {
        self.make_room(note.account, note.request);
        let suspect = self.suspects.entry(note.request);
        let suspect = suspect.or_insert_with(|| Suspect::new(note.account));
        let before = suspect.hold();
        let lacks_excuse = note
            .ends
            .iter()
            .any(|end| suspect.excuses(end.key, end.is_excused));
        let ends = note.ends.iter().map(|end| end.heard(now));
        let news = ends.filter(|end| suspect.take(*end)).count();
        let hold = self.settle(note.request);
        if lacks_excuse {
            self.note_news(note.request);
        }
        if news > 0 && scope == TellerScope::Router {
            self.zone_news.insert(note.request, TELLINGS);
        }
        hold.filter(|hold| before.is_none_or(|before| before.ends < hold.ends))
    }

    /// What the routers of the own zone are told now: what was learnt here.
    pub fn take_news(
        &mut self,
        now: Moment,
    ) -> Vec<SuspectNote> {
        let told = take_told(&mut self.news);
        self.notes(now, &told)
    }

    /// What other zones are told now: what was learnt in this one.
    pub fn take_zone_news(
        &mut self,
        now: Moment,
    ) -> Vec<SuspectNote> {
        let told = take_told(&mut self.zone_news);
        self.notes(now, &told)
    }

    /// Requests that are to be told again and again, for routers that start: those that
    /// are held back, or were.
    pub fn lasting(&self) -> &BTreeSet<RequestDigest> {
        &self.lasting
    }

    /// What is known of these requests.
    pub fn notes(
        &self,
        now: Moment,
        requests: &[RequestDigest],
    ) -> Vec<SuspectNote> {
        let known = requests.iter().filter_map(|request| {
            let suspect = self.suspects.get(request)?;
            Some(SuspectNote {
                request: *request,
                account: suspect.account,
                ends: suspect
                    .ends
                    .iter()
                    .map(|end| EndNote::new(now, end))
                    .collect(),
            })
        });
        known.collect()
    }
}

/// The requests whose turn it is, each once less from now on.
fn take_told(news: &mut BTreeMap<RequestDigest, u8>) -> Vec<RequestDigest> {
    let told: Vec<RequestDigest> = news.keys().copied().take(MOST_TOLD).collect();
    for request in &told {
        if let Some(left) = news.get_mut(request) {
            *left -= 1;
        }
    }
    news.retain(|_, left| *left > 0);
    told
}
