use {
    crate::{
        catalog::{Cordon, CordonChange, Item, UpstreamRecord},
        codes::ResultCode,
        ops::UNREADABLE,
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    serde::Deserialize,
    serde_json::Value,
};

/// The key of the operator's configuration.
const CONFIG_KEY: &str = "op/config";

/// What the operator's keys begin with.
pub const OPERATOR_PREFIX: &str = "op/";

/// What the keys begin with that name zones to be emptied.
const EMPTIED_PREFIX: &str = "op/evacuate/";

/// The longest name of a zone, in bytes; those seen have some 10.
const LONGEST_ZONE: usize = 128;

/// What the keys of replicas begin with.
pub const REPLICA_PREFIX: &str = "servers/";

/// The longest entry of a replica that is kept, in bytes; those seen take some 300. What
/// is longer is no replica's, and would cost each router its size in memory.
const LONGEST_ENTRY: usize = 16 << 10;

/// An item of the store, or that it is gone.
#[derive(Deserialize)]
struct ItemJson {
    private_key: String,
    revision: u64,
    value: Option<String>,
    #[serde(default)]
    gone: bool,
}

/// A page of a range. Items are read one by one, so that one that cannot be read
/// costs itself only.
#[derive(Deserialize)]
pub struct RangeJson {
    pub items: Vec<Value>,
    pub more: bool,
    pub at: u64,
}

/// An answer to a watch.
#[derive(Deserialize)]
pub struct WatchJson {
    pub events: Vec<Value>,
    pub at: u64,
}

/// The key of the last item that has one, for the next page.
pub fn last_key(items: &[Value]) -> Option<&str> {
    let mut keys = items.iter().rev();
    keys.find_map(|item| item["private_key"].as_str())
}

/// Items in the product's own terms, without those it has no use for or cannot read.
pub fn translate_all(items: Vec<Value>) -> Vec<Item> {
    items.into_iter().filter_map(translate).collect()
}

/// One item in the product's own terms; none for keys it has no use for. A value that is
/// no text becomes an empty one, which is no entry and no configuration.
pub fn translate(item: Value) -> Option<Item> {
    let item: ItemJson = match serde_json::from_value(item) {
        Ok(item) => item,
        Err(error) => {
            metrics::counter!(UNREADABLE, "what" => "item").increment(1);
            log::error!(
                code = ResultCode::PlatformReply.number();
                "item of the store left out: it cannot be read: {error}"
            );
            return None;
        }
    };
    if let Some(zone) = item.private_key.strip_prefix(EMPTIED_PREFIX) {
        return emptied(&item, zone).map(Item::Cordon);
    }
    let is_config = item.private_key == CONFIG_KEY;
    let id = item.private_key.strip_prefix(REPLICA_PREFIX);
    if !is_config && id.is_none() {
        return None;
    }
    let text = match (item.gone, &item.value) {
        (false, Some(value)) => Some(decode(&item, value, !is_config)),
        _ => None,
    };
    match id {
        None => text.map(|text| Item::Config { text }),
        Some(id) => Some(Item::Upstream(UpstreamRecord {
            id: id.to_owned(),
            revision: item.revision,
            text,
        })),
    }
}

/// A zone that is to be emptied, or is given back. None for a key that can name no zone,
/// and for a value that is no text: another writer's.
fn emptied(
    item: &ItemJson,
    zone: &str,
) -> Option<CordonChange> {
    let is_name = (1..=LONGEST_ZONE).contains(&zone.len())
        && zone.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
    if !is_name {
        refuse(item, "cordon", "a key that names no zone");
        return None;
    }
    let cordon = Cordon {
        zone: zone.to_owned(),
        revision: item.revision,
    };
    if item.gone {
        return Some(CordonChange::Lifted(cordon));
    }
    let value = item.value.as_deref().unwrap_or("");
    match text_of(value) {
        Ok(_) => Some(CordonChange::Set(cordon)),
        Err(error) => {
            refuse(item, "cordon", &error);
            None
        }
    }
}

/// Counts and logs an item that cannot be used.
fn refuse(
    item: &ItemJson,
    what: &'static str,
    detail: &str,
) {
    metrics::counter!(UNREADABLE, "what" => what).increment(1);
    log::error!(
        code = ResultCode::PlatformReply.number(),
        key = item.private_key.as_str(), revision = item.revision;
        "{what} of the store cannot be read: {detail}"
    );
}

fn text_of(value: &str) -> Result<String, String> {
    let bytes = STANDARD.decode(value).map_err(|error| error.to_string())?;
    String::from_utf8(bytes).map_err(|error| error.to_string())
}

/// The text of a value; empty if it is none, or far too long for an entry.
fn decode(
    item: &ItemJson,
    value: &str,
    is_entry: bool,
) -> String {
    let text = text_of(value).and_then(|text| match is_entry && text.len() > LONGEST_ENTRY {
        true => Err(format!("{} bytes", text.len())),
        false => Ok(text),
    });
    text.unwrap_or_else(|error| {
        refuse(item, "value", &error);
        String::new()
    })
}
