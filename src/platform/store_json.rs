use {
    crate::{
        catalog::{CatalogItem, Cordon, CordonChange, UpstreamRecord},
        codes::ResultCode,
        ops::UNREADABLE,
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    serde::Deserialize,
    serde_json::Value,
};

/// The key of the operator's configuration.
const CONFIG_KEY: &str = "op/config";

/// Prefix of the operator's keys.
pub const OPERATOR_PREFIX: &str = "op/";

/// Prefix of the keys that name cordoned zones.
const CORDON_PREFIX: &str = "op/evacuate/";

/// Limit on the length of a zone's name, in bytes. Names have some 10 in practice.
const MAX_ZONE_BYTES: usize = 128;

/// Prefix of the keys of replicas.
pub const REPLICA_PREFIX: &str = "servers/";

/// Limit on the size of a replica's entry. Entries have some 300 bytes in practice; longer ones
/// are not a replica's and would take memory in each router.
const MAX_ENTRY_BYTES: usize = 16 << 10;

/// An item of the store, or its removal.
#[derive(Deserialize)]
struct ItemJson {
    private_key: String, // the item's key
    revision: u64,
    value: Option<String>,
    #[serde(default)]
    gone: bool,
}

/// A page of a range. Items are parsed one by one, so that an invalid one does not affect the
/// others.
#[derive(Deserialize)]
pub struct RangeJson {
    pub items: Vec<Value>,
    pub more: bool, // whether another page follows
    pub at: u64,    // store revision of the page
}

/// The answer to a watch.
#[derive(Deserialize)]
pub struct WatchJson {
    pub events: Vec<Value>, // the changed items
    pub at: u64,            // store revision that they lead to
}

/// The key of the last item that has one, after which the next page begins.
pub fn last_key(items: &[Value]) -> Option<&str> {
    let mut keys = items.iter().rev();
    keys.find_map(|item| item["private_key"].as_str())
}

/// Converts items to the catalog's types, without those that are irrelevant or invalid.
pub fn translate_all(items: Vec<Value>) -> Vec<CatalogItem> {
    items.into_iter().filter_map(translate).collect()
}

/// Converts one item to the catalog's type; none for irrelevant keys and invalid items. A
/// value that is not text becomes an empty one, which is rejected later as an entry or as a
/// configuration.
pub fn translate(item: Value) -> Option<CatalogItem> {
    let item: ItemJson = match serde_json::from_value(item) {
        Ok(item) => item,
        Err(error) => {
            metrics::counter!(UNREADABLE, "what" => "item").increment(1);
            log::error!(
                code = ResultCode::PlatformReply.number();
                "invalid item of the store ignored: {error}"
            );
            return None;
        }
    };
    if let Some(zone) = item.private_key.strip_prefix(CORDON_PREFIX) {
        return cordon_change(&item, zone).map(CatalogItem::Cordon);
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
        None => text.map(|text| CatalogItem::Config { text }),
        Some(id) => Some(CatalogItem::Upstream(UpstreamRecord {
            id: id.to_owned(),
            revision: item.revision,
            text,
        })),
    }
}

/// A cordon that was set or lifted. None if the key cannot name a zone, or the value is not
/// text: such items come from a faulty writer.
fn cordon_change(
    item: &ItemJson,
    zone: &str,
) -> Option<CordonChange> {
    let is_name = (1..=MAX_ZONE_BYTES).contains(&zone.len())
        && zone.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
    if !is_name {
        report_invalid(item, "cordon", "the key does not name a zone");
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
            report_invalid(item, "cordon", &error);
            None
        }
    }
}

/// Counts and logs an invalid item.
fn report_invalid(
    item: &ItemJson,
    what: &'static str,
    detail: &str,
) {
    metrics::counter!(UNREADABLE, "what" => what).increment(1);
    log::error!(
        code = ResultCode::PlatformReply.number(),
        key = item.private_key.as_str(), revision = item.revision;
        "invalid {what} in the store: {detail}"
    );
}

/// Decodes a value from Base64 to UTF-8 text.
fn text_of(value: &str) -> Result<String, String> {
    let bytes = STANDARD.decode(value).map_err(|error| error.to_string())?;
    String::from_utf8(bytes).map_err(|error| error.to_string())
}

/// The text of a value; empty if it is not text, or too long for a replica's entry.
fn decode(
    item: &ItemJson,
    value: &str,
    is_entry: bool,
) -> String {
    let text = text_of(value).and_then(|text| match is_entry && text.len() > MAX_ENTRY_BYTES {
        true => Err(format!("{} bytes, more than {MAX_ENTRY_BYTES}", text.len())),
        false => Ok(text),
    });
    text.unwrap_or_else(|error| {
        report_invalid(item, "value", &error);
        String::new()
    })
}
