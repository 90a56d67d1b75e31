use {
    crate::{
        catalog::{Item, UpstreamRecord},
        codes::{Fault, ResultCode},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    serde::Deserialize,
};

/// The key of the operator's configuration.
pub const CONFIG_KEY: &str = "op/config";

/// What the keys of replicas begin with.
pub const REPLICA_PREFIX: &str = "servers/";

/// An item of the store, or that it is gone.
#[derive(Deserialize)]
pub struct ItemJson {
    private_key: String,
    revision: u64,
    value: Option<String>,
    #[serde(default)]
    gone: bool,
}

/// A page of a range.
#[derive(Deserialize)]
pub struct RangeJson {
    pub items: Vec<ItemJson>,
    pub more: bool,
    pub at: u64,
}

/// An answer to a watch.
#[derive(Deserialize)]
pub struct WatchJson {
    pub events: Vec<ItemJson>,
    pub at: u64,
}

/// An answer to a read of one key.
#[derive(Deserialize)]
pub struct KeyJson {
    #[serde(flatten)]
    pub item: ItemJson,
}

impl ItemJson {
    /// The key, for the next page.
    pub fn key(&self) -> &str {
        &self.private_key
    }

    /// The item in the product's own terms; none for keys it has no use for.
    pub fn translate(self) -> Result<Option<Item>, Fault> {
        let text = match (self.gone, self.value) {
            (false, Some(value)) => Some(decode(&value)?),
            _ => None,
        };
        if self.private_key == CONFIG_KEY {
            return Ok(text.map(|text| Item::Config { text }));
        }
        let id = self.private_key.strip_prefix(REPLICA_PREFIX);
        Ok(id.map(|id| {
            Item::Upstream(UpstreamRecord {
                id: id.to_owned(),
                revision: self.revision,
                text,
            })
        }))
    }
}

fn decode(value: &str) -> Result<String, Fault> {
    let reply = |detail: String| Fault::new(ResultCode::PlatformReply, detail);
    let bytes = STANDARD
        .decode(value)
        .map_err(|error| reply(error.to_string()))?;
    String::from_utf8(bytes).map_err(|error| reply(error.to_string()))
}
