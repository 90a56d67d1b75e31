use {
    super::{
        AcceptedConfig, ConfigOrigin, Item, Listing, UpstreamEntry, UpstreamRecord, UpstreamState,
        lapse_grace::{LapseGrace, vanish_together},
    },
    crate::{codes::Fault, routing::RoutingTable},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
    tokio::{sync::watch, time::Instant},
};

/// Reads a configuration's text: code 82.
pub type ParseConfig = fn(&str) -> Result<RoutingTable, Fault>;

/// Reads an upstream's entry by its id and text: code 82.
pub type ParseUpstream = fn(&str, &str) -> Result<UpstreamEntry, Fault>;

/// How far a catalog has come. Compared field by field, never as a whole.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogVersion {
    pub config: u64,    // version of the configuration, 0 is none
    pub upstreams: u64, // the store's revision that the list reflects, 0 is none
}

/// The newest configuration and list of upstreams that this process has heard
/// of, from the store or from peers. Higher versions win; nothing reverts.
pub struct Catalog {
    parse_config: ParseConfig,
    parse_upstream: ParseUpstream,
    state: Mutex<State>, // a leaf lock
    changed: watch::Sender<CatalogVersion>,
}

#[derive(Default)]
struct State {
    config: Option<AcceptedConfig>,
    records: BTreeMap<String, UpstreamRecord>, // by id, those that are gone too
    entries: BTreeMap<String, Arc<UpstreamEntry>>,
    upstreams_at: u64,
    lapses: LapseGrace,
}

impl Catalog {
    /// A catalog that knows nothing yet.
    pub fn new(
        parse_config: ParseConfig,
        parse_upstream: ParseUpstream,
    ) -> Self {
        Self {
            parse_config,
            parse_upstream,
            state: Mutex::default(),
            changed: watch::Sender::default(),
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<RoutingTable>> {
        let state = self.state.lock().expect("catalog lock");
        state.config.as_ref().map(|config| config.table.clone())
    }

    /// The upstreams that the newest list shows.
    pub fn upstreams(&self) -> Vec<Arc<UpstreamEntry>> {
        let state = self.state.lock().expect("catalog lock");
        state.entries.values().cloned().collect()
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

    /// What changed in the list of upstreams after a revision.
    pub fn records_after(
        &self,
        revision: u64,
    ) -> Vec<UpstreamRecord> {
        let state = self.state.lock().expect("catalog lock");
        let records = state.records.values();
        records
            .filter(|record| record.revision > revision)
            .cloned()
            .collect()
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
        let table = (self.parse_config)(text)?;
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
        self.changed.send_modify(|at| at.config = version);
        Ok(true)
    }

    /// Takes in changes of the list that reach up to the revision `at`.
    pub fn offer_records(
        &self,
        records: Vec<UpstreamRecord>,
        at: u64,
        from: &str,
    ) {
        let mut state = self.state.lock().expect("catalog lock");
        if vanish_together(&state.entries, &records) {
            log::warn!(from = from; "most upstreams vanished at once: their leases ran out");
            state.lapses.begin(Instant::now());
        }
        let changed = records
            .into_iter()
            .filter(|record| self.take(&mut state, record, from))
            .count();
        let moved = at > state.upstreams_at;
        state.upstreams_at = state.upstreams_at.max(at);
        let reached = state.upstreams_at;
        drop(state);
        if changed > 0 || moved {
            self.changed
                .send_modify(|version| version.upstreams = reached);
        }
    }

    /// Takes in what a read of the store brought.
    pub fn offer_items(
        &self,
        items: Vec<Item>,
        at: u64,
        from: &str,
    ) {
        let mut records = Vec::new();
        for item in items {
            match item {
                Item::Upstream(record) => records.push(record),
                Item::Config { text } => self.offer_logged(&text, from),
            }
        }
        self.offer_records(records, at, from);
    }

    /// Takes in a whole reading of the store: upstreams that it lacks, and that
    /// were known before it, are gone.
    pub fn offer_listing(
        &self,
        listing: Listing,
        from: &str,
    ) {
        let change = listing.change;
        let mut items = change.items;
        if listing.complete {
            items.extend(self.missing_from(&items, change.at));
        }
        self.offer_items(items, change.at, from);
    }

    /// Takes the upstreams as gone whose entries did not come back in time.
    pub fn drop_lapsed(&self) {
        let mut state = self.state.lock().expect("catalog lock");
        let expired = state.lapses.take_expired(Instant::now());
        for id in &expired {
            state.entries.remove(id);
            log::info!(upstream = id.as_str(); "upstream gone: its entry did not come back");
        }
        drop(state);
        if !expired.is_empty() {
            self.changed.send_modify(|_| {});
        }
    }

    fn offer_logged(
        &self,
        text: &str,
        from: &str,
    ) {
        if let Err(error) = self.offer_config(text, from) {
            log::error!(code = error.code.number(), from = from; "configuration refused: {error}");
        }
    }

    fn missing_from(
        &self,
        items: &[Item],
        at: u64,
    ) -> Vec<Item> {
        let listed = |id: &str| {
            items
                .iter()
                .any(|item| matches!(item, Item::Upstream(record) if record.id == id))
        };
        let state = self.state.lock().expect("catalog lock");
        state
            .records
            .values()
            .filter(|known| known.text.is_some() && known.revision <= at && !listed(&known.id))
            .map(|known| {
                Item::Upstream(UpstreamRecord {
                    id: known.id.clone(),
                    revision: at,
                    text: None,
                })
            })
            .collect()
    }

    fn take(
        &self,
        state: &mut State,
        record: &UpstreamRecord,
        from: &str,
    ) -> bool {
        let known = state.records.get(&record.id);
        if known.is_some_and(|known| known.revision >= record.revision) {
            return false;
        }
        let entry = match &record.text {
            None => None,
            Some(text) => match (self.parse_upstream)(&record.id, text) {
                Ok(entry) => Some(Arc::new(entry)),
                Err(error) => {
                    log::error!(
                        code = error.code.number(), upstream = record.id.as_str(), from = from;
                        "upstream entry refused: {error}"
                    );
                    return false;
                }
            },
        };
        let before = state.entries.get(&record.id);
        let same = before.map(|entry| &**entry) == entry.as_deref();
        let was_ready = before.is_some_and(|entry| entry.state == UpstreamState::Ready);
        let is_kept =
            entry.is_none() && was_ready && state.lapses.keeps(&record.id, Instant::now());
        if is_kept {
            log::info!(
                upstream = record.id.as_str(), revision = record.revision, from = from;
                "upstream's entry lapsed: kept for a moment"
            );
            state.records.insert(record.id.clone(), record.clone());
            return false;
        }
        state.lapses.forget(&record.id);
        if !same {
            log::info!(
                upstream = record.id.as_str(), revision = record.revision, from = from;
                "upstream {}", entry.as_ref().map_or("gone".to_owned(), |e| format!("{:?}", e.state))
            );
        }
        match entry {
            Some(entry) => state.entries.insert(record.id.clone(), entry),
            None => state.entries.remove(&record.id),
        };
        state.records.insert(record.id.clone(), record.clone());
        !same
    }
}
