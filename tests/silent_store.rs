//! A configuration that the store confirmed is in force within 2 s, also where the
//! store, or the connections to it, had fallen silent. So is that an upstream leaves, and
//! that a key is taken away: each version here does both.
//!
//! Symptom: routers answered 404 for a route of a version that had been confirmed
//! 2,685 ms before, with nothing wrong for 2.7 s. Sequence: the store falls silent for
//! 9.2 s, without a reset; a router's watch ends by its limit of 5.5 s; its next watch
//! is sent 3 s before the store returns, and is not answered either; the store
//! returns and confirms five versions; the router waits for that watch to its end.
//! Cause: a watch that got lost looks like one that waits for a change, and only its
//! limit, chosen without regard to the time that a configuration has, ended it. What
//! settled it: no router called the store in the 3 s after its return, each router's
//! calls were 5.5 s apart, and every acceptance named the store.

use {
    archmast::{
        catalog::{
            AlwaysReader, Catalog, CatalogChange, CatalogItem, CatalogSource, UpstreamRecord,
            WatchPacing, follow_store,
        },
        codes::{Fault, ResultCode},
        conf::{DirectSettings, IniDocument},
        platform::{parse_config, parse_replica},
    },
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Within this time a confirmed configuration is in force.
const APPLY: Duration = Duration::from_secs(2);

/// The limit that a client of the store puts on a call beyond what it waits.
const CLIENT_LIMIT: Duration = Duration::from_millis(1500);

/// How long an answer takes.
const ANSWER: Duration = Duration::from_millis(4);

/// Upstreams that never leave.
const STAYING: usize = 5;

/// The upstream that comes with a version and is gone with the next.
fn moving(version: u64) -> String {
    format!("of-{version}")
}

/// The key that comes with a version and is taken away with the next.
fn key(version: u64) -> String {
    format!("key-{version}")
}

fn config(version: u64) -> CatalogItem {
    let key = key(version);
    let text = format!(
        r#"{{"version":{version},"routes":[],"services":[],"tenants":[{{"name":"lot","api_keys":["{key}"]}}]}}"#
    );
    CatalogItem::Config { text }
}

fn upstream(
    id: &str,
    revision: u64,
    is_there: bool,
) -> UpstreamRecord {
    let text = r#"{"service":"s","address":"127.0.0.1:1","zone":"z","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1}"#;
    UpstreamRecord {
        id: id.to_owned(),
        revision,
        text: is_there.then(|| text.to_owned()),
    }
}

/// A store whose calls get lost: those that are open when it, or the connections to
/// it, fall silent, and those that are sent while it is silent.
struct SilencedStore {
    version: watch::Sender<u64>, // of the configuration, and the store's revision
    silence: Mutex<Silence>,
}

#[derive(Default, Clone, Copy)]
struct Silence {
    lasts: bool,
    begun: u64, // how many times it began
}

impl SilencedStore {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            version: watch::Sender::new(1),
            silence: Mutex::default(),
        })
    }

    /// Loses all open calls, and those that are sent until `end_silence`.
    fn begin_silence(&self) {
        let mut silence = self.silence.lock().expect("lock");
        silence.begun += 1;
        silence.lasts = true;
    }

    fn end_silence(&self) {
        self.silence.lock().expect("lock").lasts = false;
    }

    /// Confirms the next version.
    fn confirm(&self) -> u64 {
        self.version.send_modify(|version| *version += 1);
        *self.version.borrow()
    }

    /// The answer of a call, or the client's own limit if it got lost.
    async fn answer<T>(
        &self,
        wait: Duration,
        answer: impl Future<Output = T>,
    ) -> Result<T, Fault> {
        let at_start = *self.silence.lock().expect("lock");
        let lost = || Fault::new(ResultCode::PlatformDown, "timed out");
        if at_start.lasts {
            sleep(wait + CLIENT_LIMIT).await;
            return Err(lost());
        }
        let begun = tokio::time::Instant::now();
        let answer = answer.await;
        sleep(ANSWER).await;
        if self.silence.lock().expect("lock").begun != at_start.begun {
            sleep((wait + CLIENT_LIMIT).saturating_sub(begun.elapsed())).await;
            return Err(lost());
        }
        Ok(answer)
    }

    /// All that it holds: the newest configuration, and the upstream of its version
    /// beside those that stay.
    fn listing(&self) -> CatalogChange {
        let version = *self.version.borrow();
        let stay = (0..STAYING).map(|number| upstream(&format!("stays-{number}"), 1, true));
        let moves = upstream(&moving(version), version, true);
        let upstreams = stay.chain([moves]).map(CatalogItem::Upstream);
        CatalogChange {
            items: upstreams.chain([config(version)]).collect(),
            revision: version,
        }
    }

    /// What changed since: with each version one upstream comes and one is gone.
    fn changes_after(
        &self,
        after: u64,
    ) -> CatalogChange {
        let version = *self.version.borrow();
        let moved = (after + 1..=version).flat_map(|version| {
            let comes = upstream(&moving(version), version, true);
            let gone = upstream(&moving(version - 1), version, false);
            [CatalogItem::Upstream(comes), CatalogItem::Upstream(gone)]
        });
        CatalogChange {
            items: moved.chain([config(version)]).collect(),
            revision: version,
        }
    }
}

impl CatalogSource for SilencedStore {
    async fn list(&self) -> Result<CatalogChange, Fault> {
        let listing = async { self.listing() };
        self.answer(Duration::ZERO, listing).await
    }

    async fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Option<CatalogChange>, Fault> {
        let mut version = self.version.subscribe();
        let change = async {
            match timeout(wait, version.wait_for(|version| *version > after)).await {
                Ok(_) => self.changes_after(after),
                Err(_) => CatalogChange {
                    items: Vec::new(),
                    revision: after,
                },
            }
        };
        self.answer(wait, change).await.map(Some)
    }
}

/// The pace of the settings that are shipped.
fn shipped_pace() -> WatchPacing {
    let addresses = "[process]\nhost = r\nzone = z\n[callers]\nlisten = 10.0.0.1:1\n\
                     [ready]\nlisten = 10.0.0.1:2\n[operator]\nlisten = 10.0.0.1:3\n\
                     [peers]\nlisten = 10.0.0.1:4\nnews = 10.0.0.1:5\nseeds = 10.0.0.1:4\n\
                     [catalog]\naddress = 10.0.0.9:6\n";
    let document = IniDocument::parse("router.ini", addresses).expect("settings");
    let settings = DirectSettings::from_document(document).expect("settings");
    settings.store_pacing
}

/// A catalog that follows the store by the shipped settings.
fn follow(store: &Arc<SilencedStore>) -> Arc<Catalog> {
    let catalog = Arc::new(Catalog::new(parse_config, parse_replica));
    tokio::spawn(follow_store(
        catalog.clone(),
        store.clone(),
        Arc::new(AlwaysReader),
        shipped_pace(),
    ));
    catalog
}

/// Whether a version is in force: its configuration, without the key of the one before,
/// and its upstreams, without the one that left.
fn is_in_force(
    catalog: &Catalog,
    version: u64,
) -> bool {
    let Some(config) = catalog.config() else {
        return false;
    };
    let upstreams = catalog.upstreams();
    let lists = |id: String| upstreams.iter().any(|upstream| *upstream.id == *id);
    config.version >= version
        && config.account(&key(version)).is_some()
        && config.account(&key(version - 1)).is_none()
        && lists(moving(version))
        && !lists(moving(version - 1))
}

/// Confirms a version; whether it is in force in time.
async fn confirmed_in_time(
    store: &SilencedStore,
    catalog: &Catalog,
) -> bool {
    let version = store.confirm();
    let mut changes = catalog.subscribe();
    let in_force = changes.wait_for(|_| is_in_force(catalog, version));
    timeout(APPLY, in_force).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn a_configuration_is_in_force_in_time_after_the_store_was_silent() {
    let mut late = Vec::new();
    for step in 1..120 {
        let silent_for = Duration::from_millis(100) * step;
        let store = SilencedStore::new();
        let catalog = follow(&store);
        sleep(Duration::from_secs(5)).await;
        store.begin_silence();
        sleep(silent_for).await;
        store.end_silence();
        if !confirmed_in_time(&store, &catalog).await {
            late.push(silent_for.as_millis());
        }
    }
    assert!(late.is_empty(), "late after silences of {late:?} ms");
}

/// Load: a router that starts in a silence of any length, as when all are replaced in it.
/// Reason: it can serve nobody until the store has answered once; a call that was sent into
/// the silence held the next one back for half of the time that a configuration has.
#[tokio::test(start_paused = true)]
async fn a_router_that_knows_nothing_asks_again_before_its_call_is_lost() {
    let mut late = Vec::new();
    for step in 1..60 {
        let store = SilencedStore::new();
        store.begin_silence();
        let catalog = follow(&store);
        sleep(Duration::from_millis(100) * step).await;
        store.end_silence();
        let mut changes = catalog.subscribe();
        let known = changes.wait_for(|_| catalog.config().is_some());
        if timeout(APPLY / 5, known).await.is_err() {
            late.push(step * 100);
        }
    }
    assert!(late.is_empty(), "late after silences of {late:?} ms");
}

#[tokio::test(start_paused = true)]
async fn a_configuration_is_in_force_in_time_when_open_connections_fall_silent() {
    let mut late = Vec::new();
    for step in 0..80 {
        let after = Duration::from_secs(10) + Duration::from_millis(100) * step;
        let store = SilencedStore::new();
        let catalog = follow(&store);
        sleep(after).await;
        store.begin_silence();
        store.end_silence();
        if !confirmed_in_time(&store, &catalog).await {
            late.push(after.as_millis());
        }
    }
    assert!(late.is_empty(), "late when silent at {late:?} ms");
}

#[tokio::test(start_paused = true)]
async fn a_configuration_is_in_force_in_time_while_connections_fall_silent_again_and_again() {
    let store = SilencedStore::new();
    let catalog = follow(&store);
    sleep(Duration::from_secs(5)).await;
    let mut late = Vec::new();
    for step in 0..60 {
        store.begin_silence();
        sleep(Duration::from_millis(130) * (step % 7)).await;
        store.end_silence();
        if !confirmed_in_time(&store, &catalog).await {
            late.push(step);
        }
        sleep(Duration::from_millis(370) * (step % 5)).await;
    }
    assert!(late.is_empty(), "late at the silences {late:?}");
}
