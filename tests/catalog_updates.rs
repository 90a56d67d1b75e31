//! Catalog updates that routers send each other: whichever way a router reaches a revision of the
//! store, it knows exactly the upstreams that the store held then.

use {
    archmast::{
        catalog::{Catalog, CatalogChange, CatalogItem, UpstreamRecord, UpstreamUpdate},
        platform::{parse_config, parse_replica},
    },
    proptest::prelude::*,
    std::collections::{BTreeMap, BTreeSet},
};

/// Upstreams that are never removed: they stay the majority.
const STAYING_UPSTREAMS: usize = 12;

/// Upstreams that are added and removed.
const MOVING_UPSTREAMS: usize = 4;

const ROUTERS: usize = 3;

fn catalog() -> Catalog {
    Catalog::new(parse_config, parse_replica)
}

fn ids(catalog: &Catalog) -> BTreeSet<String> {
    let entries = catalog.upstreams();
    entries.iter().map(|entry| entry.id.to_string()).collect()
}

fn send_update(
    sender: &Catalog,
    receiver: &Catalog,
) {
    if sender.version().upstreams > receiver.version().upstreams {
        let update = sender.upstream_update_after(receiver.version().upstreams);
        receiver.offer_upstreams(update, "peer");
    }
}

/// The platform's store, with all changes since its beginning.
struct Store {
    events: Vec<UpstreamRecord>, // the n-th is of revision n + 1
}

impl Store {
    fn new() -> Self {
        let mut store = Self { events: Vec::new() };
        for number in 0..STAYING_UPSTREAMS {
            store.put(&format!("stays-{number}"));
        }
        store
    }

    fn revision(&self) -> u64 {
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
            revision: self.revision() + 1,
            text,
        });
    }

    /// The newest record of each upstream that exists at a revision.
    fn held_at(
        &self,
        revision: u64,
    ) -> BTreeMap<&str, &UpstreamRecord> {
        let events = self.events.iter().take(revision as usize);
        let newest: BTreeMap<&str, _> = events.map(|event| (&*event.id, event)).collect();
        let existing = newest.into_iter().filter(|(_, event)| event.text.is_some());
        existing.collect()
    }

    /// The current content, as the answer to a list call.
    fn listing(&self) -> CatalogChange {
        let held = self.held_at(self.revision()).into_values().cloned();
        CatalogChange {
            items: held.map(CatalogItem::Upstream).collect(),
            revision: self.revision(),
            era: None,
        }
    }

    /// The changes after a revision, as the answer to a watch call.
    fn changes_after(
        &self,
        revision: u64,
    ) -> CatalogChange {
        let events = self.events.iter().skip(revision as usize).cloned();
        CatalogChange {
            items: events.map(CatalogItem::Upstream).collect(),
            revision: self.revision(),
            era: None,
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

/// A router and the answers that it has requested and not received yet. They arrive in any order.
struct Router {
    catalog: Catalog,
    pending: Vec<Answer>,
}

enum Answer {
    Listing(CatalogChange), // from the store
    Change(CatalogChange),  // from the store
    Update(UpstreamUpdate), // from another router
}

impl Router {
    /// A router that has just started, with an empty catalog.
    fn start() -> Self {
        Self {
            catalog: catalog(),
            pending: Vec::new(),
        }
    }

    fn receive(
        &mut self,
        draw: usize,
    ) {
        if self.pending.is_empty() {
            return;
        }
        match self.pending.swap_remove(draw % self.pending.len()) {
            Answer::Listing(listing) => self.catalog.offer_listing(listing, "store"),
            Answer::Change(change) => self.catalog.offer_change(change, "store"),
            Answer::Update(update) => self.catalog.offer_upstreams(update, "peer"),
        }
    }
}

/// A step, with the router or upstream that it concerns.
#[derive(Debug, Clone)]
enum Step {
    Put(usize),
    Remove(usize),
    Watch(usize),
    List(usize),
    Ask(usize, usize),     // the router asked, the router asking
    Receive(usize, usize), // the router, and which pending answer
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        1 => (0..MOVING_UPSTREAMS).prop_map(Step::Put),
        1 => (0..MOVING_UPSTREAMS).prop_map(Step::Remove),
        1 => (0..ROUTERS).prop_map(Step::Watch),
        1 => (0..ROUTERS).prop_map(Step::List),
        1 => (0..ROUTERS, 0..ROUTERS).prop_map(|(from, to)| Step::Ask(from, to)),
        3 => (0..ROUTERS, 0..ROUTERS * 2).prop_map(|(to, draw)| Step::Receive(to, draw)),
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
                        router.pending.push(Answer::Change(store.changes_after(after)));
                    }
                }
                Step::List(number) => {
                    routers[number].pending.push(Answer::Listing(store.listing()));
                }
                Step::Ask(sender, receiver) => {
                    let known = routers[receiver].catalog.version().upstreams;
                    if routers[sender].catalog.version().upstreams > known {
                        let update = routers[sender].catalog.upstream_update_after(known);
                        routers[receiver].pending.push(Answer::Update(update));
                    }
                }
                Step::Receive(number, draw) => routers[number].receive(draw),
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
fn a_restarted_router_reports_removals_from_before_its_start() {
    let mut store = Store::new();
    store.put("leaves");
    let stale = catalog();
    store.list(&stale);
    store.write("leaves", None);
    let restarted = catalog();
    store.list(&restarted);
    send_update(&restarted, &stale);
    assert!(!ids(&stale).contains("leaves"));
    // A router that received a snapshot can still send others single changes.
    let third = catalog();
    store.list(&third);
    store.put("comes");
    store.watch(&stale);
    let update = stale.upstream_update_after(third.version().upstreams);
    assert_eq!((update.records.len(), update.is_snapshot), (1, false));
}

#[test]
fn a_router_that_lost_the_history_reports_removals_of_upstreams_it_never_knew() {
    let mut store = Store::new();
    let disconnected = catalog();
    store.list(&disconnected);
    store.put("leaves");
    let stale = catalog();
    store.list(&stale);
    store.write("leaves", None);
    store.list(&disconnected);
    send_update(&disconnected, &stale);
    assert!(!ids(&stale).contains("leaves"));
}

/// A router that starts lists the store and asks a peer at the same time. The peer has not seen a
/// removal yet, and its answer arrives after the newer listing: it must not bring the removed
/// upstream back.
#[test]
fn news_that_come_after_a_newer_reading_of_the_store_bring_nothing_back() {
    let mut store = Store::new();
    store.put("leaves");
    let other = catalog();
    store.list(&other);
    let restarted = catalog();
    let answer = other.upstream_update_after(restarted.version().upstreams);
    store.write("leaves", None);
    store.list(&restarted);
    restarted.offer_upstreams(answer, "peer");
    assert!(!ids(&restarted).contains("leaves"));
    assert_eq!(restarted.version().upstreams, store.revision());
}
