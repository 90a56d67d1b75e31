//! The configuration and the upstream list of a process never go back, whatever the source and
//! order of updates.

use {
    archmast::{
        catalog::{
            AlwaysReader, Catalog, CatalogChange, CatalogItem, CatalogSource, CordonSnapshot,
            ReaderRole, UpstreamRecord, UpstreamState, UpstreamUpdate, WatchPacing, follow_store,
        },
        codes::{Fault, ResultCode},
        platform::{parse_config, parse_replica},
    },
    proptest::prelude::*,
    std::{
        collections::VecDeque,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

fn config(version: u64) -> String {
    format!(r#"{{"version":{version},"routes":[],"services":[]}}"#)
}

fn entry(
    state: &str,
    port: u16,
) -> String {
    format!(
        r#"{{"service":"s","address":"127.0.0.1:{port}","zone":"z","version":"v1","slots":4,"state":"{state}","cold_remaining_ms":0,"sequence":1}}"#
    )
}

fn record(
    id: &str,
    revision: u64,
    text: Option<String>,
) -> UpstreamRecord {
    UpstreamRecord {
        id: id.to_owned(),
        revision,
        text,
    }
}

fn catalog() -> Arc<Catalog> {
    Arc::new(Catalog::new(parse_config, parse_replica))
}

/// Offers changes of the upstream list up to `revision`.
fn offer(
    catalog: &Catalog,
    records: Vec<UpstreamRecord>,
    revision: u64,
    from: &str,
) {
    let update = UpstreamUpdate {
        records,
        revision,
        is_snapshot: false,
    };
    catalog.offer_upstreams(update, from);
}

fn ids(catalog: &Catalog) -> Vec<String> {
    let entries = catalog.upstreams();
    entries.iter().map(|entry| entry.id.to_string()).collect()
}

#[test]
fn an_older_configuration_is_ignored_and_a_broken_one_refused() {
    let catalog = catalog();
    assert_eq!(catalog.offer_config(&config(7), "store"), Ok(true));
    assert_eq!(catalog.offer_config(&config(6), "peer"), Ok(false));
    assert_eq!(catalog.offer_config(&config(7), "peer"), Ok(false));
    let refused = catalog.offer_config(r#"{"version":9,"routes":[{}]}"#, "store");
    let code = refused.expect_err("a broken configuration").code;
    assert_eq!(code, ResultCode::PlatformReply);
    assert_eq!(catalog.version().config, 7);
    assert_eq!(catalog.offer_config(&config(8), "peer"), Ok(true));
    assert_eq!(catalog.config().expect("in force").version, 8);
}

#[test]
fn a_stale_peer_does_not_bring_back_a_removed_upstream() {
    let catalog = catalog();
    let ready = Some(entry("ready", 1));
    offer(&catalog, vec![record("a", 5, ready.clone())], 5, "store");
    offer(&catalog, vec![record("a", 8, None)], 8, "store");
    offer(&catalog, vec![record("a", 5, ready.clone())], 6, "peer");
    assert_eq!(ids(&catalog), Vec::<String>::new());
    assert_eq!(catalog.version().upstreams, 8);
    offer(&catalog, vec![record("a", 9, ready)], 9, "peer");
    assert_eq!(ids(&catalog), ["a"]);
}

#[test]
fn a_listing_removes_absent_upstreams_unless_they_are_newer() {
    let catalog = catalog();
    let ready = || Some(entry("ready", 1));
    let known = vec![record("a", 3, ready()), record("b", 12, ready())];
    offer(&catalog, known, 12, "peer");
    let listing = CatalogChange {
        items: vec![CatalogItem::Upstream(record("c", 9, ready()))],
        revision: 10,
        era: None,
    };
    catalog.offer_listing(listing, "store");
    assert_eq!(ids(&catalog), ["b", "c"]);
    assert_eq!(catalog.version().upstreams, 12);
}

#[tokio::test(start_paused = true)]
async fn upstreams_whose_leases_ran_out_together_get_time_to_come_back() {
    let catalog = catalog();
    let ready = |port| Some(entry("ready", port));
    let known = vec![
        record("a", 3, ready(1)),
        record("b", 4, ready(2)),
        record("c", 5, Some(entry("draining", 3))),
    ];
    offer(&catalog, known, 5, "store");
    let lapsed = ["a", "b", "c"].map(|id| record(id, 9, None));
    offer(&catalog, lapsed.to_vec(), 9, "store");
    assert_eq!(
        ids(&catalog),
        ["a", "b"],
        "a draining one is removed at once"
    );
    offer(&catalog, vec![record("a", 10, ready(1))], 10, "store");
    tokio::time::advance(Duration::from_secs(2)).await;
    catalog.remove_expired_lapsed();
    assert_eq!(
        ids(&catalog),
        ["a"],
        "one that did not come back is removed"
    );
    catalog.remove_expired_lapsed();
    assert_eq!(ids(&catalog), ["a"]);
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_is_removed_alone_is_removed_at_once() {
    let catalog = catalog();
    let known = (0..4).map(|n| record(&format!("u{n}"), 3, Some(entry("ready", n + 1))));
    offer(&catalog, known.collect(), 3, "store");
    offer(&catalog, vec![record("u2", 4, None)], 4, "store");
    assert_eq!(ids(&catalog), ["u0", "u1", "u3"]);
}

#[test]
fn peers_get_the_records_that_they_lack() {
    let catalog = catalog();
    let known = vec![
        record("a", 3, Some(entry("ready", 1))),
        record("b", 5, None),
        record("c", 7, Some(entry("draining", 2))),
    ];
    offer(&catalog, known, 7, "store");
    let update = catalog.upstream_update_after(3);
    assert_eq!((update.revision, update.is_snapshot), (7, false));
    let ids: Vec<_> = update
        .records
        .iter()
        .map(|record| record.id.as_str())
        .collect();
    assert_eq!(ids, ["b", "c"]);
    let states: Vec<_> = catalog
        .upstreams()
        .iter()
        .map(|entry| entry.state)
        .collect();
    assert_eq!(states, [UpstreamState::Ready, UpstreamState::Draining]);
}

proptest! {
    #[test]
    fn updates_in_any_order_give_the_same_catalog(
        order in Just((1..=12u64).collect::<Vec<_>>()).prop_shuffle()
    ) {
        let catalog = catalog();
        for revision in order {
            let text = (revision % 4 != 0).then(|| entry("ready", revision as u16));
            let id = ["a", "b", "c"][revision as usize % 3];
            offer(&catalog, vec![record(id, revision, text)], revision, "peer");
        }
        // The newest record of "a" has revision 12 and removes it.
        prop_assert_eq!(ids(&catalog), ["b", "c"]);
        let ports: Vec<u16> = catalog.upstreams().iter().map(|e| e.address.port()).collect();
        prop_assert_eq!(ports, [10, 11]);
    }
}

/// A store that answers from a script, and afterwards never.
struct ScriptedStore {
    lists: Mutex<VecDeque<Result<CatalogChange, Fault>>>,
    watches: Mutex<VecDeque<Result<Option<CatalogChange>, Fault>>>,
    calls: Mutex<Vec<String>>,
}

impl CatalogSource for ScriptedStore {
    async fn list(&self) -> Result<CatalogChange, Fault> {
        self.calls.lock().expect("lock").push("list".to_owned());
        let next = self.lists.lock().expect("lock").pop_front();
        match next {
            Some(answer) => answer,
            None => std::future::pending().await,
        }
    }

    async fn watch(
        &self,
        after: u64,
        _wait: Duration,
    ) -> Result<Option<CatalogChange>, Fault> {
        self.calls
            .lock()
            .expect("lock")
            .push(format!("watch {after}"));
        let next = self.watches.lock().expect("lock").pop_front();
        match next {
            Some(answer) => answer,
            None => std::future::pending().await,
        }
    }
}

fn listing(
    version: u64,
    revision: u64,
) -> CatalogChange {
    let text = config(version);
    CatalogChange {
        items: vec![CatalogItem::Config { text }],
        revision,
        era: None,
    }
}

#[tokio::test]
async fn the_store_is_followed_through_failures_and_lost_history() {
    let down = || Fault::new(ResultCode::PlatformDown, "503");
    let change = CatalogChange {
        items: vec![CatalogItem::Config { text: config(4) }],
        revision: 14,
        era: None,
    };
    let store = Arc::new(ScriptedStore {
        lists: Mutex::new(VecDeque::from([
            Err(down()),
            Ok(listing(3, 10)),
            Ok(listing(5, 30)),
        ])),
        watches: Mutex::new(VecDeque::from([
            Ok(Some(change)),
            Err(Fault::new(ResultCode::PlatformBudget, "429")),
            Ok(None),
        ])),
        calls: Mutex::default(),
    });
    let catalog = catalog();
    let mut changes = catalog.subscribe();
    let pacing = WatchPacing {
        apply: Duration::from_secs(60),
        pause: Duration::ZERO,
        retry_pause: Duration::from_millis(1),
    };
    let follower = tokio::spawn(follow_store(
        catalog.clone(),
        store.clone(),
        Arc::new(AlwaysReader),
        pacing,
    ));
    let reached = changes.wait_for(|version| version.config == 5).await;
    assert!(reached.is_ok());
    let calls = || store.calls.lock().expect("lock").clone();
    while calls().len() < 7 {
        tokio::task::yield_now().await;
    }
    follower.abort();
    let expected = [
        "list", "list", "watch 10", "watch 14", "watch 14", "list", "watch 30",
    ];
    assert_eq!(calls(), expected);
}

/// A reader role that the test assigns.
#[derive(Default)]
struct SwitchedRole(AtomicBool);

impl ReaderRole for SwitchedRole {
    fn is_reader(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    fn record_call(
        &self,
        _answered: bool,
    ) {
    }
}

#[tokio::test]
async fn a_process_that_becomes_reader_continues_from_the_revision_that_peers_sent() {
    let store = Arc::new(ScriptedStore {
        lists: Mutex::default(),
        watches: Mutex::default(),
        calls: Mutex::default(),
    });
    let catalog = catalog();
    let role = Arc::new(SwitchedRole::default());
    let pacing = WatchPacing {
        apply: Duration::from_secs(60),
        pause: Duration::ZERO,
        retry_pause: Duration::from_millis(1),
    };
    let source = store.clone();
    let follower = tokio::spawn(follow_store(catalog.clone(), source, role.clone(), pacing));
    assert_eq!(catalog.offer_config(&config(7), "peer"), Ok(true));
    offer(&catalog, Vec::new(), 40, "peer");
    let cordons = CordonSnapshot {
        cordons: Vec::new(),
        revision: 40,
    };
    catalog.offer_cordons(cordons, "peer");
    let calls = || store.calls.lock().expect("lock").clone();
    assert!(calls().is_empty());
    role.0.store(true, Ordering::SeqCst);
    while calls().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    follower.abort();
    assert_eq!(calls(), ["watch 40"]);
}

#[tokio::test]
async fn a_process_that_was_told_of_no_cordons_reads_the_store_whole() {
    let store = Arc::new(ScriptedStore {
        lists: Mutex::default(),
        watches: Mutex::default(),
        calls: Mutex::default(),
    });
    let catalog = catalog();
    assert_eq!(catalog.offer_config(&config(7), "peer"), Ok(true));
    offer(&catalog, Vec::new(), 40, "peer");
    let pacing = WatchPacing {
        apply: Duration::from_secs(60),
        pause: Duration::ZERO,
        retry_pause: Duration::from_millis(1),
    };
    let (source, role) = (store.clone(), Arc::new(AlwaysReader));
    let follower = tokio::spawn(follow_store(catalog.clone(), source, role, pacing));
    let calls = || store.calls.lock().expect("lock").clone();
    while calls().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    follower.abort();
    assert_eq!(calls(), ["list"]);
}
