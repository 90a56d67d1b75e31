//! The store comes back from a copy without its newest changes and begins another era. What was
//! known stands against the copy until it is written again, and what is written then counts,
//! though its revisions are below those known.

use {
    archmast::{
        catalog::{
            AlwaysReader, Catalog, CatalogChange, CatalogItem, CatalogSource, Cordon, CordonChange,
            StoreRevision, UpstreamRecord, UpstreamState, WatchPacing, follow_store,
        },
        codes::Fault,
        platform::{parse_config, parse_replica},
    },
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{advance, sleep},
};

/// Longer than upstreams that are missing from the copy have to write their entries again.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// Longer than an upstream that was gone stays unused while it is listed.
const WITHDRAWN_TIME: Duration = Duration::from_secs(11);

/// Longer than a cordon stands that is not written again.
const CORDON_TIME: Duration = Duration::from_secs(31);

fn entry_text(
    state: &str,
    born: u64,
    slow_ms: u64,
) -> String {
    format!(
        r#"{{"service":"s","address":"127.0.0.1:1","zone":"z","version":"v1","slots":4,"state":"{state}","cold_remaining_ms":{slow_ms},"sequence":1,"born":{born}}}"#
    )
}

fn entry(
    id: &str,
    revision: u64,
    text: String,
) -> CatalogItem {
    CatalogItem::Upstream(UpstreamRecord {
        id: id.to_owned(),
        revision,
        text: Some(text),
    })
}

fn ready(
    id: &str,
    revision: u64,
) -> CatalogItem {
    entry(id, revision, entry_text("ready", 1, 0))
}

fn draining(
    id: &str,
    revision: u64,
) -> CatalogItem {
    entry(id, revision, entry_text("draining", 1, 0))
}

fn gone(
    id: &str,
    revision: u64,
) -> CatalogItem {
    CatalogItem::Upstream(UpstreamRecord {
        id: id.to_owned(),
        revision,
        text: None,
    })
}

fn cordon(
    zone: &str,
    revision: u64,
) -> CatalogItem {
    CatalogItem::Cordon(CordonChange::Set(Cordon {
        zone: zone.to_owned(),
        revision,
    }))
}

fn lifted(
    zone: &str,
    revision: u64,
) -> CatalogItem {
    CatalogItem::Cordon(CordonChange::Lifted(Cordon {
        zone: zone.to_owned(),
        revision,
    }))
}

fn change(
    era: u64,
    revision: u64,
    items: Vec<CatalogItem>,
) -> CatalogChange {
    let change = CatalogChange {
        items,
        revision,
        era: Some(era),
    };
    change.in_era(era)
}

fn listing(
    catalog: &Catalog,
    era: u64,
    revision: u64,
    items: Vec<CatalogItem>,
) {
    catalog.offer_listing(change(era, revision, items), "store");
}

fn changes(
    catalog: &Catalog,
    era: u64,
    revision: u64,
    items: Vec<CatalogItem>,
) {
    catalog.offer_change(change(era, revision, items), "store");
}

fn catalog() -> Catalog {
    Catalog::new(parse_config, parse_replica)
}

/// A catalog that knows the upstreams `a`, `b` and `c` at revision 50 of era 1.
fn known_catalog() -> Catalog {
    let catalog = catalog();
    listing(
        &catalog,
        1,
        50,
        vec![ready("a", 10), ready("b", 11), ready("c", 50)],
    );
    catalog
}

/// The upstreams as the store's copy lists them.
fn copy() -> Vec<CatalogItem> {
    vec![ready("a", 10), ready("b", 11), ready("c", 20)]
}

/// The ids of the upstreams in use, with those that leave in capitals.
fn in_use(catalog: &Catalog) -> String {
    let entries = catalog.upstreams();
    let names = entries.iter().map(|entry| match entry.state {
        UpstreamState::Draining => entry.id.to_uppercase(),
        _ => entry.id.to_string(),
    });
    names.collect()
}

fn cordoned(catalog: &Catalog) -> Vec<String> {
    catalog.cordoned_zones().into_iter().collect()
}

/// What a router sends to another that asks with this revision.
fn tell(
    from: &Catalog,
    to: &Catalog,
) {
    let update = from.upstream_update_after(to.version().upstreams);
    to.offer_upstreams(update, "peer");
    to.offer_cordons(from.cordon_snapshot(), "peer");
}

fn report_carried(
    from: &Catalog,
    to: &Catalog,
    era: u64,
) {
    let (entries, cordons) = from.carried();
    to.offer_carried(era, entries, cordons, "peer");
}

#[test]
fn revisions_are_ordered_by_era_first_and_equal_the_counters_without_one() {
    let pack = |era, counter| StoreRevision { era, counter }.pack();
    assert_eq!(pack(0, 300), 300);
    assert!(pack(1, 2) > pack(0, 300));
    assert!(pack(2, 0) > pack(1, u64::MAX));
    let revision = StoreRevision {
        era: 7,
        counter: 12,
    };
    assert_eq!(StoreRevision::unpack(revision.pack()), revision);
}

#[test]
fn a_change_below_the_revision_reached_before_the_loss_counts() {
    let catalog = known_catalog();
    listing(&catalog, 2, 20, copy());
    assert!(catalog.version().upstreams > 50);
    changes(&catalog, 2, 21, vec![draining("c", 21)]);
    assert_eq!(in_use(&catalog), "abC");
    changes(&catalog, 2, 22, vec![gone("c", 22)]);
    assert_eq!(in_use(&catalog), "ab");
}

#[test]
fn routers_that_do_not_read_the_store_hear_of_the_era_from_those_that_do() {
    let (reader, other) = (known_catalog(), known_catalog());
    listing(&reader, 2, 20, copy());
    changes(&reader, 2, 21, vec![draining("c", 21), cordon("z", 21)]);
    assert!(reader.version().is_ahead_of(other.version()));
    tell(&reader, &other);
    assert_eq!(
        (in_use(&other), cordoned(&other)),
        ("abC".to_owned(), vec!["z".to_owned()])
    );
}

#[test]
fn an_answer_of_the_era_before_changes_nothing() {
    let catalog = known_catalog();
    listing(&catalog, 2, 20, vec![ready("a", 10), ready("b", 11)]);
    changes(&catalog, 2, 21, vec![draining("a", 21)]);
    changes(&catalog, 1, 60, vec![gone("b", 60), cordon("z", 60)]);
    listing(&catalog, 1, 61, vec![ready("a", 10), cordon("y", 61)]);
    assert!(in_use(&catalog).starts_with("Ab"));
    assert_eq!(cordoned(&catalog), Vec::<String>::new());
    let stale = known_catalog();
    tell(&stale, &catalog);
    assert!(in_use(&catalog).starts_with("Ab"));
}

#[test]
fn changes_of_another_era_without_its_listing_are_ignored() {
    let catalog = known_catalog();
    changes(&catalog, 2, 21, vec![gone("a", 21), cordon("z", 21)]);
    assert_eq!(in_use(&catalog), "abc");
    assert_eq!(cordoned(&catalog), Vec::<String>::new());
    assert_eq!(StoreRevision::unpack(catalog.version().upstreams).era, 1);
}

#[tokio::test(start_paused = true)]
async fn a_leaving_that_the_copy_lacks_stands_until_the_entry_is_written_again() {
    let catalog = known_catalog();
    changes(&catalog, 1, 51, vec![draining("a", 51)]);
    listing(&catalog, 2, 20, copy());
    assert_eq!(in_use(&catalog), "Abc");
    advance(CORDON_TIME).await;
    catalog.expire_carried();
    assert_eq!(in_use(&catalog), "Abc");
    changes(&catalog, 2, 21, vec![draining("a", 21)]);
    assert_eq!(in_use(&catalog), "Abc");
    changes(&catalog, 2, 22, vec![gone("a", 22)]);
    assert_eq!(in_use(&catalog), "bc");
}

#[tokio::test(start_paused = true)]
async fn a_leaving_stands_over_two_losses_in_series() {
    let catalog = known_catalog();
    changes(&catalog, 1, 51, vec![draining("a", 51), gone("b", 52)]);
    listing(&catalog, 2, 20, copy());
    assert_eq!(in_use(&catalog), "Ac");
    listing(&catalog, 3, 20, copy());
    assert_eq!(in_use(&catalog), "Ac");
    changes(&catalog, 3, 21, vec![ready("b", 21)]);
    assert_eq!(in_use(&catalog), "Abc");
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_had_gone_is_used_again_when_it_writes_or_stays_listed() {
    let catalog = known_catalog();
    changes(
        &catalog,
        1,
        53,
        vec![gone("a", 51), gone("b", 52), gone("c", 53)],
    );
    advance(REWRITE_TIME).await;
    catalog.remove_expired_lapsed();
    listing(&catalog, 2, 20, copy());
    assert_eq!(in_use(&catalog), "");
    changes(&catalog, 2, 21, vec![ready("a", 21), gone("b", 22)]);
    assert_eq!(in_use(&catalog), "a");
    advance(WITHDRAWN_TIME).await;
    catalog.expire_carried();
    assert_eq!(in_use(&catalog), "ac");
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_a_later_listing_lacks_is_not_used_again() {
    let catalog = known_catalog();
    changes(&catalog, 1, 51, vec![gone("a", 51)]);
    listing(&catalog, 2, 20, copy());
    listing(&catalog, 2, 25, vec![ready("b", 11), ready("c", 20)]);
    advance(WITHDRAWN_TIME).await;
    catalog.expire_carried();
    assert_eq!(in_use(&catalog), "bc");
}

#[tokio::test(start_paused = true)]
async fn upstreams_that_the_copy_lacks_stay_in_use_until_they_could_write_again() {
    let catalog = known_catalog();
    changes(&catalog, 1, 51, vec![ready("d", 51)]);
    listing(&catalog, 2, 9, vec![ready("a", 3)]);
    assert_eq!(in_use(&catalog), "abcd");
    changes(&catalog, 2, 11, vec![ready("d", 10), ready("b", 11)]);
    advance(REWRITE_TIME).await;
    catalog.remove_expired_lapsed();
    assert_eq!(in_use(&catalog), "abd");
}

#[test]
fn the_copy_takes_back_neither_a_later_start_nor_a_slow_one() {
    let catalog = known_catalog();
    changes(
        &catalog,
        1,
        52,
        vec![
            entry("a", 51, entry_text("ready", 2, 0)),
            entry("b", 52, entry_text("ready", 1, 3000)),
        ],
    );
    listing(&catalog, 2, 20, copy());
    let entries = catalog.upstreams();
    assert_eq!(entries[0].started_unix_ms, Some(2));
    assert_eq!(entries[1].slow_start_remaining, Duration::from_secs(3));
}

#[test]
fn a_later_start_that_the_store_lists_does_not_leave_with_the_earlier_one() {
    let catalog = known_catalog();
    changes(&catalog, 1, 51, vec![draining("a", 51)]);
    let restarted = entry("a", 20, entry_text("ready", 2, 0));
    listing(
        &catalog,
        2,
        20,
        vec![restarted, ready("b", 11), ready("c", 20)],
    );
    assert_eq!(in_use(&catalog), "abc");
}

#[tokio::test(start_paused = true)]
async fn a_cordon_that_the_copy_lacks_stands_until_it_is_written_again_or_lifted() {
    let catalog = known_catalog();
    changes(
        &catalog,
        1,
        53,
        vec![cordon("x", 51), cordon("y", 52), cordon("z", 53)],
    );
    listing(&catalog, 2, 20, vec![ready("a", 10)]);
    assert_eq!(cordoned(&catalog), ["x", "y", "z"]);
    changes(&catalog, 2, 22, vec![cordon("x", 21), lifted("y", 22)]);
    assert_eq!(cordoned(&catalog), ["x", "z"]);
    advance(CORDON_TIME).await;
    catalog.expire_carried();
    assert_eq!(cordoned(&catalog), ["x"]);
    changes(&catalog, 2, 23, vec![lifted("x", 23)]);
    assert_eq!(cordoned(&catalog), Vec::<String>::new());
}

#[test]
fn a_cordon_that_was_lifted_before_the_loss_stands_while_the_copy_has_it() {
    let catalog = known_catalog();
    changes(&catalog, 1, 51, vec![cordon("z", 51)]);
    changes(&catalog, 1, 52, vec![lifted("z", 52)]);
    listing(&catalog, 2, 20, vec![ready("a", 10), cordon("z", 19)]);
    assert_eq!(cordoned(&catalog), ["z"]);
    changes(&catalog, 2, 21, vec![lifted("z", 21)]);
    assert_eq!(cordoned(&catalog), Vec::<String>::new());
}

#[tokio::test(start_paused = true)]
async fn a_router_that_starts_after_the_loss_hears_what_the_copy_lacks() {
    let witness = known_catalog();
    changes(
        &witness,
        1,
        53,
        vec![draining("a", 51), gone("b", 52), cordon("z", 53)],
    );
    listing(&witness, 2, 20, copy());
    let started = catalog();
    listing(&started, 2, 20, copy());
    assert_eq!(in_use(&started), "abc");
    report_carried(&witness, &started, 1);
    assert_eq!(in_use(&started), "abc", "of another era");
    report_carried(&witness, &started, 2);
    assert_eq!(
        (in_use(&started), cordoned(&started)),
        ("Ac".to_owned(), vec!["z".to_owned()])
    );
    changes(
        &started,
        2,
        23,
        vec![ready("b", 21), lifted("z", 22), gone("a", 23)],
    );
    report_carried(&witness, &started, 2);
    assert_eq!(in_use(&started), "bc", "what was written since counts");
    assert_eq!(cordoned(&started), Vec::<String>::new());
}

#[tokio::test(start_paused = true)]
async fn routers_that_tell_each_other_do_not_prolong_what_stands() {
    let (first, second) = (known_catalog(), catalog());
    changes(&first, 1, 52, vec![gone("b", 51), cordon("z", 52)]);
    listing(&first, 2, 20, copy());
    listing(&second, 2, 20, copy());
    for _ in 0..40 {
        report_carried(&first, &second, 2);
        report_carried(&second, &first, 2);
        advance(Duration::from_secs(1)).await;
        first.expire_carried();
        second.expire_carried();
    }
    for router in [&first, &second] {
        assert_eq!(
            (in_use(router), cordoned(router)),
            ("abc".to_owned(), Vec::new())
        );
    }
}

#[test]
fn a_build_without_eras_gets_the_counters_that_it_reads_itself() {
    let catalog = known_catalog();
    listing(&catalog, 2, 20, vec![ready("a", 10), cordon("z", 19)]);
    let mut update = catalog.upstream_update_after(0);
    update.remove_era();
    assert_eq!((update.revision, update.records[0].revision), (20, 10));
    let mut cordons = catalog.cordon_snapshot();
    cordons.remove_era();
    assert_eq!((cordons.revision, cordons.cordons[0].revision), (20, 19));
}

/// One answer of a scripted store: to a listing, or to a watch (none is status 410).
type Answer = Option<CatalogChange>;

/// A store that gives its answers in order, and then says nothing any more.
struct ScriptedStore {
    answers: Mutex<VecDeque<Answer>>,
    calls: Mutex<Vec<Option<u64>>>, // the revision of each watch; none for listings
}

impl ScriptedStore {
    async fn next(
        &self,
        call: Option<u64>,
    ) -> Answer {
        let next = self.answers.lock().expect("lock").pop_front();
        match next {
            Some(answer) => {
                self.calls.lock().expect("lock").push(call);
                answer
            }
            None => std::future::pending().await,
        }
    }
}

impl CatalogSource for ScriptedStore {
    async fn list(&self) -> Result<CatalogChange, Fault> {
        Ok(self.next(None).await.expect("an answer to a listing"))
    }

    async fn watch(
        &self,
        after: u64,
        _wait: Duration,
    ) -> Result<Option<CatalogChange>, Fault> {
        Ok(self.next(Some(after)).await)
    }
}

fn answer(
    era: Option<u64>,
    revision: u64,
    items: Vec<CatalogItem>,
) -> Answer {
    Some(CatalogChange {
        items,
        revision,
        era,
    })
}

/// Follows a store that gives these answers. Returns the catalog and the calls that it made.
async fn follow(answers: Vec<Answer>) -> (Arc<Catalog>, Vec<Option<u64>>) {
    let catalog = Arc::new(catalog());
    let store = Arc::new(ScriptedStore {
        answers: Mutex::new(answers.into()),
        calls: Mutex::default(),
    });
    let pacing = WatchPacing {
        apply: Duration::from_secs(2),
        pause: Duration::from_millis(20),
        retry_pause: Duration::from_millis(100),
    };
    let task = tokio::spawn(follow_store(
        catalog.clone(),
        store.clone(),
        Arc::new(AlwaysReader),
        pacing,
    ));
    sleep(Duration::from_millis(500)).await;
    task.abort();
    let calls = store.calls.lock().expect("lock").clone();
    (catalog, calls)
}

fn first_listing(era: Option<u64>) -> Answer {
    answer(era, 50, vec![ready("a", 10), ready("b", 50)])
}

#[tokio::test(start_paused = true)]
async fn a_store_that_lacks_the_revision_is_listed_and_watched_from_its_own() {
    for era in [None, Some(3)] {
        let (catalog, calls) = follow(vec![
            first_listing(era),
            None,
            answer(
                era.map(|era| era + 1),
                20,
                vec![ready("a", 10), ready("b", 20)],
            ),
            answer(era.map(|era| era + 1), 21, vec![draining("b", 21)]),
        ])
        .await;
        assert_eq!(calls, [None, Some(50), None, Some(20)], "{era:?}");
        assert_eq!(in_use(&catalog), "aB", "{era:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_store_that_has_grown_past_the_revision_is_listed_by_its_era() {
    let (catalog, calls) = follow(vec![
        first_listing(Some(0)),
        answer(Some(1), 53, vec![ready("c", 53)]),
        answer(
            Some(1),
            54,
            vec![ready("a", 10), draining("b", 30), ready("c", 53)],
        ),
        answer(Some(1), 55, vec![gone("c", 55)]),
    ])
    .await;
    assert_eq!(calls, [None, Some(50), None, Some(54)]);
    assert_eq!(in_use(&catalog), "aB");
}

#[tokio::test(start_paused = true)]
async fn an_answer_without_a_header_is_of_the_era_that_is_known() {
    let (catalog, calls) = follow(vec![
        first_listing(Some(4)),
        answer(None, 51, vec![draining("b", 51)]),
        answer(Some(4), 52, vec![ready("c", 52)]),
    ])
    .await;
    assert_eq!(calls, [None, Some(50), Some(51)]);
    assert_eq!(in_use(&catalog), "aBc");
}

#[tokio::test(start_paused = true)]
async fn a_listing_of_an_earlier_era_is_asked_for_again() {
    let (catalog, calls) = follow(vec![
        first_listing(Some(4)),
        None,
        answer(Some(3), 60, vec![]),
        answer(Some(5), 20, vec![ready("a", 10), draining("b", 20)]),
    ])
    .await;
    assert_eq!(calls, [None, Some(50), None, None]);
    assert_eq!(in_use(&catalog), "aB");
}
