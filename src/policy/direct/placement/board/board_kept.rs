//! What replicas say that they keep, and who follows it.

use {
    super::ReplicaBoard,
    crate::{
        catalog::{UpstreamEntry, UpstreamState},
        policy::{
            Moment,
            placement::{KeptChange, KeptFollow, KeptNews},
        },
    },
};

/// Replicas whose news are kept for peers at most; news beyond it are a gap to them.
const MOST_NEWS: usize = 400;

impl ReplicaBoard {
    /// Whether this router is to follow what a replica of its own zone keeps: one is drawn
    /// of those that were heard of lately. Replicas that leave, rest or stand in a zone that
    /// is emptied are left alone.
    pub fn follows(
        &self,
        now: Moment,
        entry: &UpstreamEntry,
    ) -> bool {
        let Some(view) = self.replicas.get(&entry.id) else {
            return false;
        };
        view.entry.is_same_start(entry)
            && view.entry.state == UpstreamState::Ready
            && !view.health.rests(now)
            && !self.is_cordoned(&view.entry)
            && self.wants_requests(now, &view.entry)
            && self.zone_routers.is_highest_ranked(now, view.hash)
    }

    /// Whether some router tells this one what a replica keeps.
    pub fn is_followed(
        &self,
        now: Moment,
        entry: &UpstreamEntry,
    ) -> bool {
        let view = self.replicas.get(&entry.id);
        let view = view.filter(|view| view.entry.is_same_start(entry));
        view.is_some_and(|view| view.cache.is_followed(now))
    }

    /// A router of the own zone has just started: what the replicas keep that this one
    /// follows is news once more.
    pub fn tell_kept_again(
        &mut self,
        now: Moment,
        zone: &str,
    ) {
        let is_shared = |part| self.shared_parts.contains(part);
        let views = self
            .replicas
            .values()
            .filter(|view| &*view.entry.zone == zone);
        let views = views.filter(|view| self.follows(now, &view.entry));
        let news = views.filter_map(|view| {
            let news = view.cache.news_again(is_shared)?;
            Some((view.start, news))
        });
        let news: Vec<_> = news.collect();
        self.kept_news.extend(news);
    }

    /// Where a replica's events go on.
    pub fn kept_follow(
        &self,
        entry: &UpstreamEntry,
    ) -> KeptFollow {
        let view = self.replicas.get(&entry.id);
        let view = view.filter(|view| view.entry.is_same_start(entry));
        view.map_or_else(KeptFollow::default, |view| view.cache.follow())
    }

    /// A replica that this router follows said what it took in and gave up.
    pub fn heard_kept(
        &mut self,
        now: Moment,
        entry: &UpstreamEntry,
        news: &KeptNews,
    ) -> Option<KeptChange> {
        let start = entry.start_hash();
        let cache = &mut self.same_start(entry)?.cache;
        let change = cache.hear(now, news);
        let told = cache.to_tell(now, &change.news);
        let shared = change
            .news
            .given_up(|part| self.shared_parts.contains(part));
        if !shared.events.is_empty() && self.zone_kept_news.len() < MOST_NEWS {
            self.zone_kept_news.push((start, shared));
        }
        if self.kept_news.len() < MOST_NEWS {
            self.kept_news.extend(told.map(|news| (start, news)));
        }
        Some(change)
    }

    /// What replicas said since this was last asked, by the short names of their starts.
    pub fn take_kept_news(&mut self) -> Vec<(u32, KeptNews)> {
        std::mem::take(&mut self.kept_news)
    }

    /// Of the same, what other zones are to know: shared parts that were given up. Those that
    /// were taken in they hear of as they are placed.
    pub fn take_zone_kept_news(&mut self) -> Vec<(u32, KeptNews)> {
        std::mem::take(&mut self.zone_kept_news)
    }

    /// Another router told what a replica said to it.
    pub fn hear_kept(
        &mut self,
        now: Moment,
        start: u32,
        news: &KeptNews,
    ) {
        if let Some(view) = self.by_key(start) {
            view.cache.hear(now, news);
        }
    }
}
