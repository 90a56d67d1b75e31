//! What routers tell each other of the upstreams: whoever has come to a revision of the
//! store, by whatever way, knows what the store held then, and nothing that had left.

use {
    archmast::{
        catalog::{Catalog, CatalogChange, CatalogItem, UpstreamRecord, UpstreamUpdate},
        platform::{parse_config, parse_replica},
    },
    proptest::prelude::*,
    std::collections::{BTreeMap, BTreeSet},
};

/// Upstreams that never leave: those that come and go stay the lesser part.
const STAYING: usize = 12;

/// Those that come and go.
const MOVING: usize = 4;

const ROUTERS: usize = 3;

fn catalog() -> Catalog {
    Catalog::new(parse_config, parse_replica)
}

fn ids(catalog: &Catalog) -> BTreeSet<String> {
    let entries = catalog.upstreams();
    entries.iter().map(|entry| entry.id.to_string()).collect()
}

fn tell(
    teller: &Catalog,
    asker: &Catalog,
) {
    if teller.version().upstreams > asker.version().upstreams {
        let news = teller.upstream_update_after(asker.version().upstreams);
        asker.offer_upstreams(news, "peer");
    }
}

/// The platform's store, with all that it ever held.
struct Store {
    events: Vec<UpstreamRecord>, // the n-th is of revision n + 1
}

impl Store {
    fn new() -> Self {
        let mut store = Self { events: Vec::new() };
        for number in 0..STAYING {
            store.put(&format!("stays-{number}"));
        }
        store
    }

    fn at(&self) -> u64 {
        self.events.len() as u64
    }

    fn put(
        &mut self,
        id: &str,
    ) {
        let text = r#"{"service":"s","address":"127.0.0.1:1","zone":"z","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1}"#;
        self.write(id, Some(text.to_owned()));
    }

    fn write(
        &mut self,
        id: &str,
        text: Option<String>,
    ) {
        self.events.push(UpstreamRecord {
            id: id.to_owned(),
            revision: self.at() + 1,
            text,
        });
    }

    /// The newest record of each upstream at a revision, of those that are there.
    fn held_at(
        &self,
        revision: u64,
    ) -> BTreeMap<&str, &UpstreamRecord> {
        let events = self.events.iter().take(revision as usize);
        let newest: BTreeMap<&str, _> = events.map(|event| (&*event.id, event)).collect();
        let there = newest.into_iter().filter(|(_, event)| event.text.is_some());
        there.collect()
    }

    /// All that it holds, as it answers a reading.
    fn listing(&self) -> CatalogChange {
        let held = self.held_at(self.at()).into_values().cloned();
        CatalogChange {
            items: held.map(CatalogItem::Upstream).collect(),
            revision: self.at(),
        }
    }

    /// As it answers a watch.
    fn changes_after(
        &self,
        revision: u64,
    ) -> CatalogChange {
        let events = self.events.iter().skip(revision as usize).cloned();
        CatalogChange {
            items: events.map(CatalogItem::Upstream).collect(),
            revision: self.at(),
        }
    }

    fn list(
        &self,
        catalog: &Catalog,
    ) {
        catalog.offer_listing(self.listing(), "store");
    }

    fn watch(
        &self,
        catalog: &Catalog,
    ) {
        let change = self.changes_after(catalog.version().upstreams);
        catalog.offer_change(change, "store");
    }
}

/// A router, and the answers to its questions that have not come yet. They come in any
/// order.
struct Router {
    catalog: Catalog,
    coming: Vec<Answer>,
}

enum Answer {
    Whole(CatalogChange),  // of the store
    Change(CatalogChange), // of the store
    News(UpstreamUpdate),  // of another router
}

impl Router {
    /// Starts anew, knowing nothing.
    fn start() -> Self {
        Self {
            catalog: catalog(),
            coming: Vec::new(),
        }
    }

    fn take(
        &mut self,
        drawn: usize,
    ) {
        if self.coming.is_empty() {
            return;
        }
        match self.coming.swap_remove(drawn % self.coming.len()) {
            Answer::Whole(listing) => self.catalog.offer_listing(listing, "store"),
            Answer::Change(change) => self.catalog.offer_change(change, "store"),
            Answer::News(news) => self.catalog.offer_upstreams(news, "peer"),
        }
    }
}

/// What may happen, to a router or an upstream drawn by number.
#[derive(Debug, Clone)]
enum Step {
    Put(usize),
    Remove(usize),
    Watch(usize),
    ReadWhole(usize),
    Ask(usize, usize),  // one router another
    Take(usize, usize), // one of the answers to come
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        1 => (0..MOVING).prop_map(Step::Put),
        1 => (0..MOVING).prop_map(Step::Remove),
        1 => (0..ROUTERS).prop_map(Step::Watch),
        1 => (0..ROUTERS).prop_map(Step::ReadWhole),
        1 => (0..ROUTERS, 0..ROUTERS).prop_map(|(from, to)| Step::Ask(from, to)),
        3 => (0..ROUTERS, 0..ROUTERS * 2).prop_map(|(to, drawn)| Step::Take(to, drawn)),
        1 => (0..ROUTERS).prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]
    #[test]
    fn who_has_come_to_a_revision_knows_what_the_store_held_then(steps in steps()) {
        let mut store = Store::new();
        let mut routers: Vec<Router> = (0..ROUTERS).map(|_| Router::start()).collect();
        for step in steps {
            match step {
                Step::Put(number) => store.put(&format!("moves-{number}")),
                Step::Remove(number) => store.write(&format!("moves-{number}"), None),
                Step::Watch(number) => {
                    let router = &mut routers[number];
                    let after = router.catalog.version().upstreams;
                    if after > 0 {
                        router.coming.push(Answer::Change(store.changes_after(after)));
                    }
                }
                Step::ReadWhole(number) => {
                    routers[number].coming.push(Answer::Whole(store.listing()));
                }
                Step::Ask(teller, asker) => {
                    let known = routers[asker].catalog.version().upstreams;
                    if routers[teller].catalog.version().upstreams > known {
                        let news = routers[teller].catalog.upstream_update_after(known);
                        routers[asker].coming.push(Answer::News(news));
                    }
                }
                Step::Take(number, drawn) => routers[number].take(drawn),
                Step::Restart(number) => routers[number] = Router::start(),
            }
            for router in &routers {
                let held = store.held_at(router.catalog.version().upstreams);
                let held: BTreeSet<String> = held.into_keys().map(str::to_owned).collect();
                prop_assert_eq!(ids(&router.catalog), held);
            }
        }
    }
}

#[test]
fn a_router_that_started_anew_tells_what_has_gone_before() {
    let mut store = Store::new();
    store.put("leaves");
    let behind = catalog();
    store.list(&behind);
    store.write("leaves", None);
    let started = catalog();
    store.list(&started);
    tell(&started, &behind);
    assert!(!ids(&behind).contains("leaves"));
    // Who was told whole, tells others whole as well.
    let third = catalog();
    store.list(&third);
    store.put("comes");
    store.watch(&behind);
    let news = behind.upstream_update_after(third.version().upstreams);
    assert_eq!((news.records.len(), news.is_snapshot), (1, false));
}

#[test]
fn a_router_that_lost_the_history_tells_of_upstreams_that_it_never_heard_of() {
    let mut store = Store::new();
    let silent = catalog();
    store.list(&silent);
    store.put("leaves");
    let behind = catalog();
    store.list(&behind);
    store.write("leaves", None);
    store.list(&silent);
    tell(&silent, &behind);
    assert!(!ids(&behind).contains("leaves"));
}

/// A router that starts reads the store and asks another at the same time. The other had
/// not heard of the removal yet, and its answer came last. A router's log, which settled
/// it; the store had removed the upstream at its revision 51 before it was read:
///
/// ```text
/// 4.117 "upstream Ready" from store (others; this one is not listed any more)
/// 4.178 "news of the upstreams taken in" after 0, at 45, records 43, whole true
/// 4.178 "upstream Ready" revision 11, from the other router
/// 7.563 "sent" upstream_at 11, upstreams_at 94
/// ```
#[test]
fn news_that_come_after_a_newer_reading_of_the_store_bring_nothing_back() {
    let mut store = Store::new();
    store.put("leaves");
    let other = catalog();
    store.list(&other);
    let started = catalog();
    let answer = other.upstream_update_after(started.version().upstreams);
    store.write("leaves", None);
    store.list(&started);
    started.offer_upstreams(answer, "peer");
    assert!(!ids(&started).contains("leaves"));
    assert_eq!(started.version().upstreams, store.at());
}
