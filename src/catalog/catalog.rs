use {
    super::{
        AcceptedConfig, CarriedCordon, CarriedEntry, CatalogChange, CatalogItem, ConfigOrigin,
        CordonChange, CordonList, CordonSnapshot, ParseUpstream, UpstreamEntry, UpstreamOrigin,
        UpstreamUpdate, era_of, upstream_list::UpstreamList,
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

/// Parses the text of a configuration. Fails with `PlatformReply`.
pub type ParseConfig = fn(&str) -> Result<RoutingTable, Fault>;

/// Version of a catalog. Has no total order, since the two parts advance independently.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogVersion {
    pub config: u64,    // version of the configuration; 0 if there is none
    pub upstreams: u64, // store revision that the list of upstreams reflects; 0 if none
}

impl CatalogVersion {
    /// Whether the catalog has both a configuration and a list of upstreams.
    pub fn is_complete(&self) -> bool {
        self.config > 0 && self.upstreams > 0
    }

    /// Whether the configuration or the list of upstreams is newer than the other's.
    pub fn is_ahead_of(
        &self,
        other: Self,
    ) -> bool {
        self.config > other.config || self.upstreams > other.upstreams
    }
}

/// The newest configuration, list of upstreams and cordons that this process has received
/// from the store or from peers. Older versions are ignored.
pub struct Catalog {
    parse_config: ParseConfig,
    state: Mutex<State>, // no other mutex is locked while it is held
    changed: watch::Sender<CatalogVersion>,
}

struct State {
    config: Option<AcceptedConfig>,
    upstreams: UpstreamList,
    cordons: CordonList,
}

impl Catalog {
    /// An empty catalog.
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

    /// Sets the listening addresses of this process. Upstream entries that name one of them
    /// are rejected.
    pub fn exclude_addresses(
        &self,
        excluded: Vec<SocketAddr>,
    ) {
        let mut state = self.state.lock().expect("catalog lock");
        state.upstreams.exclude_addresses(excluded);
    }

    pub fn config(&self) -> Option<Arc<RoutingTable>> {
        let state = self.state.lock().expect("catalog lock");
        state.config.as_ref().map(|config| config.table.clone())
    }

    /// The upstreams in use, including lapsed ones in their grace period.
    pub fn upstreams(&self) -> Vec<Arc<UpstreamEntry>> {
        let state = self.state.lock().expect("catalog lock");
        state.upstreams.entries()
    }

    pub fn version(&self) -> CatalogVersion {
        *self.changed.borrow()
    }

    /// A receiver that is notified of every change, also of those that leave the version as it is.
    pub fn subscribe(&self) -> watch::Receiver<CatalogVersion> {
        self.changed.subscribe()
    }

    /// The text of the configuration in force.
    pub fn config_text(&self) -> Option<Arc<str>> {
        let state = self.state.lock().expect("catalog lock");
        state.config.as_ref().map(|config| config.text.clone())
    }

    /// Version, source and age of the configuration in force.
    pub fn config_origin(&self) -> Option<ConfigOrigin> {
        let state = self.state.lock().expect("catalog lock");
        state.config.as_ref().map(|config| ConfigOrigin {
            version: config.table.version,
            from: config.from.clone(),
            age: config.accepted.elapsed(),
        })
    }

    /// Source and revision of an upstream's last record; none for unknown upstreams.
    pub fn upstream_origin(
        &self,
        id: &str,
    ) -> Option<UpstreamOrigin> {
        let state = self.state.lock().expect("catalog lock");
        state.upstreams.origin(id)
    }

    /// The availability zones that the operator has cordoned: they get no new work.
    pub fn cordoned_zones(&self) -> BTreeSet<String> {
        let state = self.state.lock().expect("catalog lock");
        state.cordons.zones()
    }

    /// The store revision that the cordons reflect; 0 if none. It may lag behind that of the
    /// upstreams, because routers of builds without support for cordons do not send any.
    pub fn cordons_revision(&self) -> u64 {
        let state = self.state.lock().expect("catalog lock");
        state.cordons.revision()
    }

    /// Whether the cordons are at least as recent as the list of upstreams.
    pub fn cordons_up_to_date(&self) -> bool {
        let state = self.state.lock().expect("catalog lock");
        state.cordons.revision() > 0 && state.cordons.revision() >= state.upstreams.revision()
    }

    /// A snapshot of all cordons, for a peer.
    pub fn cordon_snapshot(&self) -> CordonSnapshot {
        let state = self.state.lock().expect("catalog lock");
        state.cordons.snapshot()
    }

    /// Applies a snapshot of all cordons, if it is newer. Must be called after the upstreams
    /// of the same message are applied: a replica may restart cold just before its zone is
    /// uncordoned, and must not get full load then.
    pub fn offer_cordons(
        &self,
        snapshot: CordonSnapshot,
        from: &str,
    ) {
        let is_changed = {
            let mut state = self.state.lock().expect("catalog lock");
            state.cordons.apply_snapshot(snapshot, from)
        };
        self.notify_if(is_changed);
    }

    /// The records of upstreams that a peer lacks whose list reflects this store revision.
    pub fn upstream_update_after(
        &self,
        revision: u64,
    ) -> UpstreamUpdate {
        let state = self.state.lock().expect("catalog lock");
        state.upstreams.upstream_update_after(revision)
    }

    /// Applies a configuration if its version is higher than that of the one in force, and
    /// returns whether it was. Fails with `PlatformReply` if it cannot be parsed; then the one
    /// in force stays.
    pub fn offer_config(
        &self,
        text: &str,
        from: &str,
    ) -> Result<bool, Fault> {
        let current = self.config_text();
        if current.as_deref() == Some(text) {
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
            let known = state
                .config
                .as_ref()
                .map_or(0, |current| current.table.version);
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

    /// Applies changes or a snapshot of the list of upstreams.
    pub fn offer_upstreams(
        &self,
        update: UpstreamUpdate,
        from: &str,
    ) {
        let (is_changed, revision) = {
            let mut state = self.state.lock().expect("catalog lock");
            let is_changed = state.upstreams.apply(update, from);
            metrics::gauge!(UNUSABLE_ENTRIES).set(state.upstreams.unusable() as f64);
            (is_changed, state.upstreams.revision())
        };
        if is_changed {
            self.changed
                .send_modify(|version| version.upstreams = revision);
        }
    }

    /// Applies the changes that a watch of the store returned.
    pub fn offer_change(
        &self,
        change: CatalogChange,
        from: &str,
    ) {
        self.offer_items(change, false, from);
    }

    /// Applies a full listing of the store. Upstreams of older revisions that are missing from
    /// it are removed.
    pub fn offer_listing(
        &self,
        listing: CatalogChange,
        from: &str,
    ) {
        self.offer_items(listing, true, from);
    }

    /// Removes the lapsed upstreams whose entries did not reappear within the grace period.
    pub fn remove_expired_lapsed(&self) {
        let dropped = {
            let mut state = self.state.lock().expect("catalog lock");
            state.upstreams.remove_expired_lapsed()
        };
        self.notify_if(dropped);
    }

    /// Removes all lapsed upstreams at once. Called after the process was suspended, so that
    /// the grace period may have passed without changes being seen.
    pub fn remove_all_lapsed(&self) {
        let dropped = {
            let mut state = self.state.lock().expect("catalog lock");
            state.upstreams.remove_all_lapsed()
        };
        self.notify_if(dropped);
    }

    /// Removes carried entries and cordons whose time is over.
    pub fn expire_carried(&self) {
        let is_changed = {
            let mut state = self.state.lock().expect("catalog lock");
            let restored = state.upstreams.restore_confirmed();
            state.cordons.remove_expired() || restored
        };
        self.notify_if(is_changed);
    }

    /// The entries and cordons carried over from an earlier era of the store, for peers.
    pub fn carried(&self) -> (Vec<CarriedEntry>, Vec<CarriedCordon>) {
        let state = self.state.lock().expect("catalog lock");
        (
            state.upstreams.carried_entries(),
            state.cordons.carried_cordons(),
        )
    }

    /// Applies entries and cordons that a peer carried over from an earlier era. Ignored unless
    /// this catalog is of the peer's era.
    pub fn offer_carried(
        &self,
        era: u64,
        entries: Vec<CarriedEntry>,
        cordons: Vec<CarriedCordon>,
        from: &str,
    ) {
        let is_changed = {
            let mut state = self.state.lock().expect("catalog lock");
            let mut is_changed = false;
            if era_of(state.upstreams.revision()) == era {
                for entry in entries {
                    is_changed |= state.upstreams.apply_carried_entry(entry, from);
                }
            }
            if era_of(state.cordons.revision()) == era {
                for cordon in cordons {
                    is_changed |= state.cordons.apply_carried_cordon(cordon, from);
                }
            }
            is_changed
        };
        self.notify_if(is_changed);
    }

    /// Notifies subscribers of a change that leaves the version as it is.
    fn notify_if(
        &self,
        is_changed: bool,
    ) {
        if is_changed {
            self.changed.send_modify(|_| {});
        }
    }

    fn offer_items(
        &self,
        change: CatalogChange,
        is_snapshot: bool,
        from: &str,
    ) {
        let mut records = Vec::new();
        let mut cordons = Vec::new();
        for item in change.items {
            match item {
                CatalogItem::Upstream(record) => records.push(record),
                CatalogItem::Cordon(change) => cordons.push(change),
                CatalogItem::Config { text } => self.offer_config_or_log(&text, from),
            }
        }
        let update = UpstreamUpdate {
            records,
            revision: change.revision,
            is_snapshot,
        };
        let revision = update.revision;
        self.offer_upstreams(update, from);
        self.apply_cordons(cordons, revision, is_snapshot, from);
    }

    fn apply_cordons(
        &self,
        changes: Vec<CordonChange>,
        revision: u64,
        is_snapshot: bool,
        from: &str,
    ) {
        if is_snapshot {
            let set = changes.into_iter().filter_map(|change| match change {
                CordonChange::Set(cordon) => Some(cordon),
                CordonChange::Lifted(_) => None,
            });
            let cordons = set.collect();
            return self.offer_cordons(CordonSnapshot { cordons, revision }, from);
        }
        let is_changed = {
            let mut state = self.state.lock().expect("catalog lock");
            state.cordons.apply_changes(changes, revision, from)
        };
        self.notify_if(is_changed);
    }

    /// Applies a configuration as [`Catalog::offer_config`] does, and logs the error if it
    /// cannot be parsed.
    pub fn offer_config_or_log(
        &self,
        text: &str,
        from: &str,
    ) {
        if let Err(error) = self.offer_config(text, from) {
            log::error!(code = error.code.number(), from = from; "configuration refused: {error}");
        }
    }
}
