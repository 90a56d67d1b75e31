use {
    super::{ConfigText, ReplicaEntry, RouteText},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// The stand-in of the platform's store: items by key with one revision counter, and a
/// history of changes that can be discarded.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>, // the newest revision
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<Value>,
    revision: u64,
    discarded_up_to: u64, // events up to this revision are discarded
    era: u64,             // number of losses so far
    hides_era: bool,      // answers do not tell the era
    writes: Vec<Write>,   // all that are not lost, in order
}

/// A write or a deletion.
#[derive(Clone)]
struct Write {
    at: Instant,
    key: String,
    value: Option<String>, // in base64; none if the key was deleted
    revision: u64,
}

/// What a writer has to write again after a loss.
#[derive(Debug, Clone)]
pub struct LostWrite {
    pub key: String,
    value: Option<String>, // in base64; none if the key was deleted
    copy_revision: u64,    // of the copy from which the store came back
}

struct Item {
    value: String, // in base64
    revision: u64,
}

impl State {
    fn apply(
        &mut self,
        write: Write,
    ) {
        let (key, revision) = (&write.key, write.revision);
        self.revision = revision;
        match &write.value {
            Some(value) => {
                self.events.push(item(key, value, revision));
                let value = value.clone();
                self.items.insert(key.clone(), Item { value, revision });
            }
            None => {
                let event = json!({"private_key": key, "revision": revision, "gone": true});
                self.events.push(event);
                self.items.remove(key);
            }
        }
        self.writes.push(write);
    }
}

impl Default for Store {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: Arc::new(watch::Sender::new(0)),
        }
    }
}

impl Store {
    /// Publishes a configuration with these routes in which the account has the key
    /// `key-1`.
    pub fn publish(
        &self,
        version: u64,
        routes: &[RouteText],
    ) {
        self.publish_config(&ConfigText::new(version, routes));
    }

    /// The same as [`Self::publish`], where the replicas of all services are model
    /// engines.
    pub fn publish_engines(
        &self,
        version: u64,
        routes: &[RouteText],
    ) {
        self.publish_config(&ConfigText {
            service_fields: json!({"engine": {"slots": 8, "kv_capacity_tokens": 100_000}}),
            ..ConfigText::new(version, routes)
        });
    }

    /// The same as [`Self::publish`], where replicas of all services are limited to
    /// `per_second` requests a second for three seconds after a start.
    pub fn publish_slow_starts(
        &self,
        version: u64,
        routes: &[RouteText],
        per_second: f64,
    ) {
        self.publish_config(&ConfigText {
            service_fields: json!({"cold_start_s": 3.0, "cold_per_s": per_second}),
            ..ConfigText::new(version, routes)
        });
    }

    /// The same as [`Self::publish`], with these API keys of the account.
    pub fn publish_with_keys(
        &self,
        version: u64,
        routes: &[RouteText],
        keys: &[&str],
    ) {
        self.publish_config(&ConfigText {
            keys,
            ..ConfigText::new(version, routes)
        });
    }

    pub fn publish_config(
        &self,
        config: &ConfigText<'_>,
    ) {
        self.put("op/config", &config.to_json());
    }

    /// Writes the entry of a replica in the zone `z`.
    pub fn list_replica(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        state: &str,
    ) {
        self.list_replica_in("z", id, service, address, state);
    }

    /// Writes the entry of a replica in this zone.
    pub fn list_replica_in(
        &self,
        zone: &str,
        id: &str,
        service: &str,
        address: SocketAddr,
        state: &str,
    ) {
        self.list(&ReplicaEntry {
            state,
            ..ReplicaEntry::new(zone, id, service, address)
        });
    }

    /// Writes the entry of a replica. Returns the entry's revision.
    pub fn list(
        &self,
        entry: &ReplicaEntry<'_>,
    ) -> u64 {
        self.put(&format!("servers/{}", entry.id), &entry.to_json())
    }

    /// Writes the entry of a ready replica whose slow start lasts for this long. Returns
    /// the entry's revision.
    pub fn list_slow(
        &self,
        zone: &str,
        id: &str,
        service: &str,
        address: SocketAddr,
        slow_ms: u64,
    ) -> u64 {
        self.list(&ReplicaEntry {
            slow_ms,
            ..ReplicaEntry::new(zone, id, service, address)
        })
    }

    /// Removes the slow start from the replica's entry, unless the entry was written
    /// again after revision `listed`.
    pub fn end_slow_start(
        &self,
        id: &str,
        listed: u64,
    ) {
        let key = format!("servers/{id}");
        let entry = {
            let state = self.state.lock().expect("store lock");
            let item = state.items.get(&key);
            let same = item.filter(|item| item.revision == listed);
            same.map(|item| decode_json(&item.value))
        };
        let Some(mut entry) = entry else {
            return;
        };
        entry["cold_remaining_ms"] = 0.into();
        self.put(&key, &entry);
    }

    /// Writes the entry of a ready replica with its start time `born`, by which routers
    /// distinguish successive processes with the same id.
    pub fn list_replica_start(
        &self,
        zone: &str,
        id: &str,
        born: u64,
        service: &str,
        address: SocketAddr,
    ) {
        let mut entry = ReplicaEntry::new(zone, id, service, address).to_json();
        entry["born"] = born.into();
        self.put(&format!("servers/{id}"), &entry);
    }

    /// Cordons a zone: the routers send no new work to its replicas.
    pub fn cordon_zone(
        &self,
        zone: &str,
    ) {
        self.put(&format!("op/evacuate/{zone}"), &json!({}));
    }

    /// Lets the routers use a cordoned zone again.
    pub fn uncordon_zone(
        &self,
        zone: &str,
    ) {
        self.delete(&format!("op/evacuate/{zone}"));
    }

    /// Deletes the entry of a replica.
    pub fn remove_replica(
        &self,
        id: &str,
    ) {
        self.delete(&format!("servers/{id}"));
    }

    /// Deletes the item of a key.
    pub fn delete(
        &self,
        key: &str,
    ) {
        self.write(key, None);
    }

    /// Discards the history of changes, so that older watches are answered with 410. The
    /// items stay.
    pub fn compact(&self) {
        let mut state = self.state.lock().expect("store lock");
        state.discarded_up_to = state.revision;
        state.events.clear();
    }

    /// Makes answers tell no era.
    pub fn hide_era(&self) {
        self.state.lock().expect("store lock").hides_era = true;
    }

    /// The era that answers tell.
    pub(super) fn told_era(&self) -> Option<u64> {
        let state = self.state.lock().expect("store lock");
        (!state.hides_era).then_some(state.era)
    }

    /// Comes back from a copy of this age: later writes are lost, and their revisions are given
    /// out again. Returns the last lost write of each key.
    pub fn return_from_copy(
        &self,
        age: Duration,
    ) -> Vec<LostWrite> {
        let (lost, revision) = {
            let mut state = self.state.lock().expect("store lock");
            let copied_at = Instant::now().checked_sub(age);
            let is_kept = |write: &Write| copied_at.is_some_and(|copied_at| write.at <= copied_at);
            let (kept, lost): (Vec<Write>, Vec<Write>) = std::mem::take(&mut state.writes)
                .into_iter()
                .partition(is_kept);
            let before = std::mem::take(&mut *state);
            state.era = before.era + 1;
            state.hides_era = before.hides_era;
            for write in kept {
                state.apply(write);
            }
            state.discarded_up_to = before.discarded_up_to.min(state.revision);
            (lost, state.revision)
        };
        self.changed.send_replace(revision);
        let last: BTreeMap<String, Write> = lost
            .into_iter()
            .map(|write| (write.key.clone(), write))
            .collect();
        let lost = last.into_values().map(|write| LostWrite {
            key: write.key,
            value: write.value,
            copy_revision: revision,
        });
        lost.collect()
    }

    /// Writes a lost write again, unless its key was written since the loss.
    pub fn write_again(
        &self,
        lost: LostWrite,
    ) {
        let is_written = {
            let state = self.state.lock().expect("store lock");
            let mut writes = state.writes.iter();
            writes.any(|write| write.key == lost.key && write.revision > lost.copy_revision)
        };
        if !is_written {
            self.write(&lost.key, lost.value);
        }
    }

    fn put(
        &self,
        key: &str,
        value: &Value,
    ) -> u64 {
        self.put_bytes(key, value.to_string().as_bytes())
    }

    /// Writes an item of any content, as any other writer to the store may do. Returns its
    /// revision.
    pub fn put_bytes(
        &self,
        key: &str,
        bytes: &[u8],
    ) -> u64 {
        self.write(key, Some(base64(bytes)))
    }

    fn write(
        &self,
        key: &str,
        value: Option<String>,
    ) -> u64 {
        let revision = {
            let mut state = self.state.lock().expect("store lock");
            let revision = state.revision + 1;
            state.apply(Write {
                at: Instant::now(),
                key: key.to_owned(),
                value,
                revision,
            });
            revision
        };
        self.changed.send_replace(revision);
        revision
    }

    /// The answer to a read of one key.
    pub(super) fn key(
        &self,
        key: &str,
    ) -> Option<Value> {
        let state = self.state.lock().expect("store lock");
        let found = state.items.get(key)?;
        let mut answer = item(key, &found.value, found.revision);
        answer["at"] = state.revision.into();
        Some(answer)
    }

    /// A page of the items whose keys begin with `prefix` and follow `after`. Pages are
    /// short to make readers ask for several.
    pub(super) fn range(
        &self,
        prefix: &str,
        after: &str,
    ) -> Value {
        const PAGE_ITEMS: usize = 2;
        let state = self.state.lock().expect("store lock");
        let below: Vec<_> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .collect();
        let page = below.iter().take(PAGE_ITEMS);
        let items: Vec<Value> = page
            .map(|(key, found)| item(key, &found.value, found.revision))
            .collect();
        json!({"items": items, "more": below.len() > PAGE_ITEMS, "at": state.revision})
    }

    /// Changes after a revision of keys that begin with `prefix`, none if some of them
    /// may have been discarded, or if the store does not have that revision.
    pub(super) fn events(
        &self,
        prefix: &str,
        after: u64,
    ) -> Option<Vec<Value>> {
        let state = self.state.lock().expect("store lock");
        if after < state.discarded_up_to || after > state.revision {
            return None;
        }
        let fresh = state.events.iter().filter(|event| {
            let key = event["private_key"].as_str().unwrap_or("");
            event["revision"].as_u64() > Some(after) && key.starts_with(prefix)
        });
        Some(fresh.cloned().collect())
    }

    /// The newest revision.
    pub fn revision(&self) -> u64 {
        *self.changed.borrow()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

fn item(
    key: &str,
    value: &str,
    revision: u64,
) -> Value {
    json!({"private_key": key, "value": value, "revision": revision, "made": revision, "lease": 0})
}

fn decode_json(value: &str) -> Value {
    use base64::{Engine, engine::general_purpose::STANDARD};
    let bytes = STANDARD.decode(value).expect("written by this store");
    serde_json::from_slice(&bytes).expect("an entry")
}

fn base64(bytes: &[u8]) -> String {
    use base64::{Engine, engine::general_purpose::STANDARD};
    STANDARD.encode(bytes)
}
