use {
    super::{
        AcceptedConfig, CatalogChange, ConfigOrigin, CordonChange, CordonList, CordonNews, Item,
        ParseUpstream, UpstreamEntry, UpstreamNews, UpstreamOrigin, upstream_list::UpstreamList,
    },
    crate::{
        codes::Fault,
        ops::{CONFIG_REFUSED, UNUSABLE_ENTRIES},
        routing::RoutingTable,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    tokio::{sync::watch, time::Instant},
};

/// Reads a configuration's text: code 82.
pub type ParseConfig = fn(&str) -> Result<RoutingTable, Fault>;

/// How far a catalog has come. Compared field by field, never as a whole.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogVersion {
    pub config: u64,    // version of the configuration, 0 is none
    pub upstreams: u64, // the store's revision that the list reflects, 0 is none
}

impl CatalogVersion {
    /// Whether there is a configuration and a list of upstreams.
    pub fn knows_both(&self) -> bool {
        self.config > 0 && self.upstreams > 0
    }

    /// Whether something here is newer than there.
    pub fn is_ahead_of(
        &self,
        other: Self,
    ) -> bool {
        self.config > other.config || self.upstreams > other.upstreams
    }
}

/// The newest configuration and list of upstreams that this process has heard
/// of, from the store or from peers. Higher versions win; nothing reverts.
pub struct Catalog {
    parse_config: ParseConfig,
    state: Mutex<State>, // a leaf lock
    changed: watch::Sender<CatalogVersion>,
}

struct State {
    config: Option<AcceptedConfig>,
    upstreams: UpstreamList,
    cordons: CordonList,
}

impl Catalog {
    /// A catalog that knows nothing yet.
    pub fn new(
        parse_config: ParseConfig,
        parse_upstream: ParseUpstream,
    ) -> Self {
        Self {
            parse_config,
            state: Mutex::new(State {
                config: None,
                upstreams: UpstreamList::new(parse_upstream),
                cordons: CordonList::default(),
            }),
            changed: watch::Sender::default(),
        }
    }

    /// Addresses of this process, which are no upstream's.
    pub fn keep_out(
        &self,
        own: Vec<SocketAddr>,
    ) {
        let mut state = self.state.lock().expect("catalog lock");
        state.upstreams.keep_out(own);
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<RoutingTable>> {
        let state = self.state.lock().expect("catalog lock");
        state.config.as_ref().map(|config| config.table.clone())
    }

    /// The upstreams that the newest list shows.
    pub fn upstreams(&self) -> Vec<Arc<UpstreamEntry>> {
        let state = self.state.lock().expect("catalog lock");
        state.upstreams.entries()
    }

    /// How far the catalog has come.
    pub fn version(&self) -> CatalogVersion {
        *self.changed.borrow()
    }

    /// Tells of every change.
    pub fn subscribe(&self) -> watch::Receiver<CatalogVersion> {
        self.changed.subscribe()
    }

    /// The text of the configuration in force.
    pub fn config_text(&self) -> Option<Arc<str>> {
        let state = self.state.lock().expect("catalog lock");
        state.config.as_ref().map(|config| config.text.clone())
    }

    /// Who told the configuration in force, and how long ago.
    pub fn config_origin(&self) -> Option<ConfigOrigin> {
        let state = self.state.lock().expect("catalog lock");
        state.config.as_ref().map(|config| ConfigOrigin {
            version: config.table.version,
            from: config.from.clone(),
            age: config.accepted.elapsed(),
        })
    }

    /// Who told what is known of an upstream.
    pub fn upstream_origin(
        &self,
        id: &str,
    ) -> Option<UpstreamOrigin> {
        let state = self.state.lock().expect("catalog lock");
        state.upstreams.origin(id)
    }

    /// The availability zones that get no new work.
    pub fn cordoned(&self) -> BTreeSet<String> {
        let state = self.state.lock().expect("catalog lock");
        state.cordons.zones()
    }

    /// The store's revision up to which cordons are known, 0 is none. Routers of builds
    /// that know no cordons tell of configurations and upstreams alone, so that this may
    /// lag behind them.
    pub fn cordons_at(&self) -> u64 {
        let state = self.state.lock().expect("catalog lock");
        state.cordons.at()
    }

    /// Whether cordons are known as far as the list of upstreams is.
    pub fn knows_cordons(&self) -> bool {
        let state = self.state.lock().expect("catalog lock");
        state.cordons.at() > 0 && state.cordons.at() >= state.upstreams.at()
    }

    /// All that is known of cordons.
    pub fn cordon_news(&self) -> CordonNews {
        let state = self.state.lock().expect("catalog lock");
        state.cordons.news()
    }

    /// Takes in what another router knows of cordons. Comes after the upstreams that were
    /// told with it: a replica may have become cold just before its zone is given back.
    pub fn offer_cordons(
        &self,
        news: CordonNews,
        from: &str,
    ) {
        let is_news = {
            let mut state = self.state.lock().expect("catalog lock");
            state.cordons.take_whole(news, from)
        };
        if is_news {
            self.changed.send_modify(|_| {});
        }
    }

    /// What one that has come to a revision lacks of the list of upstreams.
    pub fn news_after(
        &self,
        revision: u64,
    ) -> UpstreamNews {
        let state = self.state.lock().expect("catalog lock");
        state.upstreams.news_after(revision)
    }

    /// Takes in a configuration if it is newer than the one in force. Code 82
    /// if it cannot be read; the one in force stays.
    pub fn offer_config(
        &self,
        text: &str,
        from: &str,
    ) -> Result<bool, Fault> {
        let held = self.config_text();
        if held.as_deref() == Some(text) {
            return Ok(false);
        }
        let parsed = (self.parse_config)(text);
        if parsed.is_err() {
            metrics::gauge!(CONFIG_REFUSED).set(1.0);
        }
        let table = parsed?;
        let version = table.version;
        let known = {
            let mut state = self.state.lock().expect("catalog lock");
            let known = state.config.as_ref().map_or(0, |held| held.table.version);
            if version > known {
                state.config = Some(AcceptedConfig {
                    text: text.into(),
                    table: Arc::new(table),
                    from: from.into(),
                    accepted: Instant::now(),
                });
            }
            known
        };
        if version <= known {
            log::debug!(version = version, known = known, from = from; "older configuration ignored");
            return Ok(false);
        }
        log::info!(version = version, known = known, from = from; "configuration accepted");
        metrics::gauge!(CONFIG_REFUSED).set(0.0);
        self.changed.send_modify(|at| at.config = version);
        Ok(true)
    }

    /// Takes in news of the list of upstreams.
    pub fn offer_upstreams(
        &self,
        news: UpstreamNews,
        from: &str,
    ) {
        let (is_news, reached) = {
            let mut state = self.state.lock().expect("catalog lock");
            let is_news = state.upstreams.take(news, from);
            metrics::gauge!(UNUSABLE_ENTRIES).set(state.upstreams.unusable() as f64);
            (is_news, state.upstreams.at())
        };
        if is_news {
            self.changed
                .send_modify(|version| version.upstreams = reached);
        }
    }

    /// Takes in what a watch of the store brought.
    pub fn offer_change(
        &self,
        change: CatalogChange,
        from: &str,
    ) {
        self.offer_items(change, false, from);
    }

    /// Takes in a whole reading of the store: upstreams that it lacks, and that
    /// were known before it, are gone.
    pub fn offer_listing(
        &self,
        listing: CatalogChange,
        from: &str,
    ) {
        self.offer_items(listing, true, from);
    }

    /// Takes the upstreams as gone whose entries did not come back in time.
    pub fn drop_lapsed(&self) {
        let dropped = {
            let mut state = self.state.lock().expect("catalog lock");
            state.upstreams.drop_lapsed()
        };
        if dropped {
            self.changed.send_modify(|_| {});
        }
    }

    /// Takes all upstreams as gone whose entries have lapsed: the process stood still, and
    /// their time to come back is over.
    pub fn end_lapses(&self) {
        let dropped = {
            let mut state = self.state.lock().expect("catalog lock");
            state.upstreams.end_lapses()
        };
        if dropped {
            self.changed.send_modify(|_| {});
        }
    }

    fn offer_items(
        &self,
        change: CatalogChange,
        is_whole: bool,
        from: &str,
    ) {
        let mut records = Vec::new();
        let mut cordons = Vec::new();
        for item in change.items {
            match item {
                Item::Upstream(record) => records.push(record),
                Item::Cordon(change) => cordons.push(change),
                Item::Config { text } => self.offer_told_config(&text, from),
            }
        }
        let news = UpstreamNews {
            records,
            at: change.at,
            is_whole,
        };
        let at = news.at;
        self.offer_upstreams(news, from);
        self.take_cordons(cordons, at, is_whole, from);
    }

    fn take_cordons(
        &self,
        changes: Vec<CordonChange>,
        at: u64,
        is_whole: bool,
        from: &str,
    ) {
        if is_whole {
            let set = changes.into_iter().filter_map(|change| match change {
                CordonChange::Set(cordon) => Some(cordon),
                CordonChange::Lifted(_) => None,
            });
            let cordons = set.collect();
            return self.offer_cordons(CordonNews { cordons, at }, from);
        }
        let is_news = {
            let mut state = self.state.lock().expect("catalog lock");
            state.cordons.take_changes(changes, at, from)
        };
        if is_news {
            self.changed.send_modify(|_| {});
        }
    }

    /// Takes in a configuration of which nobody waits to hear whether it was taken: one
    /// that cannot be read leaves a line.
    pub fn offer_told_config(
        &self,
        text: &str,
        from: &str,
    ) {
        if let Err(error) = self.offer_config(text, from) {
            log::error!(code = error.code.number(), from = from; "configuration refused: {error}");
        }
    }
}
