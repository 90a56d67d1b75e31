use {
    super::{ConfigText, RouteText},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    tokio::sync::watch,
};

/// The stand-in of the platform's store: items by key, one revision counter,
/// and a history that can be forgotten.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>, // the revision
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<Value>,
    revision: u64,
    forgotten: u64, // events up to this revision are gone
}

struct Item {
    value: String, // in base64
    revision: u64,
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
    /// Publishes a configuration in which the account has the key `key-1`.
    pub fn publish(
        &self,
        version: u64,
        routes: &[RouteText],
    ) {
        self.publish_config(&ConfigText::new(version, routes));
    }

    /// The same, where the replicas of all services are model engines.
    pub fn publish_engines(
        &self,
        version: u64,
        routes: &[RouteText],
    ) {
        self.publish_config(&ConfigText {
            details: json!({"engine": {"slots": 8, "kv_capacity_tokens": 100_000}}),
            ..ConfigText::new(version, routes)
        });
    }

    /// The same, where the replicas of all services bear so many requests a second for
    /// three seconds after a start.
    pub fn publish_slow_starts(
        &self,
        version: u64,
        routes: &[RouteText],
        per_second: f64,
    ) {
        self.publish_config(&ConfigText {
            details: json!({"cold_start_s": 3.0, "cold_per_s": per_second}),
            ..ConfigText::new(version, routes)
        });
    }

    /// The same with other keys.
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

    /// Publishes a configuration.
    pub fn publish_config(
        &self,
        config: &ConfigText<'_>,
    ) {
        self.put("op/config", &config.to_json());
    }

    /// Lists a replica of the zone `z`.
    pub fn list(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        state: &str,
    ) {
        self.list_in("z", id, service, address, state);
    }

    /// Lists a replica.
    pub fn list_in(
        &self,
        zone: &str,
        id: &str,
        service: &str,
        address: SocketAddr,
        state: &str,
    ) {
        let entry = json!({
            "service": service, "address": address, "zone": zone, "version": "v1",
            "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1,
        });
        self.put(&format!("servers/{id}"), &entry);
    }

    /// Lists a replica that has just started, and is slow for this long. Gives the revision.
    pub fn list_slow(
        &self,
        zone: &str,
        id: &str,
        service: &str,
        address: SocketAddr,
        slow_ms: u64,
    ) -> u64 {
        let entry = json!({
            "service": service, "address": address, "zone": zone, "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": slow_ms, "sequence": 1,
        });
        self.put(&format!("servers/{id}"), &entry)
    }

    /// A replica is through the start that was listed at this revision: its entry says so
    /// from now on, unless it has changed since.
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
            same.map(|item| unbase64(&item.value))
        };
        let Some(mut entry) = entry else {
            return;
        };
        entry["cold_remaining_ms"] = 0.into();
        self.put(&key, &entry);
    }

    /// Lists a start of a replica: one that may have started before under its id.
    pub fn list_start(
        &self,
        zone: &str,
        id: &str,
        born: u64,
        service: &str,
        address: SocketAddr,
    ) {
        let entry = json!({
            "service": service, "address": address, "zone": zone, "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": born,
        });
        self.put(&format!("servers/{id}"), &entry);
    }

    /// Asks for a zone to be emptied.
    pub fn empty_zone(
        &self,
        zone: &str,
    ) {
        self.put(&format!("op/evacuate/{zone}"), &json!({}));
    }

    /// Takes a zone back that was emptied.
    pub fn take_zone_back(
        &self,
        zone: &str,
    ) {
        self.delete(&format!("op/evacuate/{zone}"));
    }

    /// Takes a replica off the list.
    pub fn remove(
        &self,
        id: &str,
    ) {
        self.delete(&format!("servers/{id}"));
    }

    /// Deletes an item.
    pub fn delete(
        &self,
        key: &str,
    ) {
        let revision = {
            let mut state = self.state.lock().expect("store lock");
            state.items.remove(key);
            state.revision += 1;
            let revision = state.revision;
            let event = json!({"private_key": key, "revision": revision, "gone": true});
            state.events.push(event);
            revision
        };
        self.changed.send_replace(revision);
    }

    /// Forgets all changes so far; what there is stays.
    pub fn forget_history(&self) {
        let mut state = self.state.lock().expect("store lock");
        state.forgotten = state.revision;
        state.events.clear();
    }

    fn put(
        &self,
        key: &str,
        value: &Value,
    ) -> u64 {
        self.put_bytes(key, value.to_string().as_bytes())
    }

    /// Writes an item as any other writer may: any bytes, below any key. Gives the revision.
    pub fn put_bytes(
        &self,
        key: &str,
        bytes: &[u8],
    ) -> u64 {
        let value = base64(bytes);
        let revision = {
            let mut state = self.state.lock().expect("store lock");
            state.revision += 1;
            let revision = state.revision;
            state.events.push(item(key, &value, revision));
            state.items.insert(key.to_owned(), Item { value, revision });
            revision
        };
        self.changed.send_replace(revision);
        revision
    }

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

    /// Items below a prefix and behind a key, two a page.
    pub(super) fn range(
        &self,
        prefix: &str,
        after: &str,
    ) -> Value {
        const PAGE: usize = 2;
        let state = self.state.lock().expect("store lock");
        let below: Vec<_> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .collect();
        let page = below.iter().take(PAGE);
        let items: Vec<Value> = page
            .map(|(key, found)| item(key, &found.value, found.revision))
            .collect();
        json!({"items": items, "more": below.len() > PAGE, "at": state.revision})
    }

    /// Events after a revision; none when they are forgotten.
    pub(super) fn events(
        &self,
        prefix: &str,
        after: u64,
    ) -> Option<Vec<Value>> {
        let state = self.state.lock().expect("store lock");
        if after < state.forgotten {
            return None;
        }
        let fresh = state.events.iter().filter(|event| {
            let key = event["private_key"].as_str().unwrap_or("");
            event["revision"].as_u64() > Some(after) && key.starts_with(prefix)
        });
        Some(fresh.cloned().collect())
    }

    pub(super) fn revision(&self) -> u64 {
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

fn unbase64(value: &str) -> Value {
    use base64::{Engine, engine::general_purpose::STANDARD};
    let bytes = STANDARD.decode(value).expect("written by this store");
    serde_json::from_slice(&bytes).expect("an entry")
}

fn base64(bytes: &[u8]) -> String {
    use base64::{Engine, engine::general_purpose::STANDARD};
    STANDARD.encode(bytes)
}
