use {
    super::prompt_headers::part_id,
    crate::{
        callers::RequestBodyReader,
        codes::{Fault, ResultCode},
        direct::CacheProtocol,
        policy::{
            name_hash,
            placement::{CacheEvent, CacheEventBatch, CachedPart},
        },
    },
    hyper::{
        Request, Uri,
        header::{HeaderName, HeaderValue},
    },
    serde::{Deserialize, de::DeserializeOwned},
    serde_json::Value,
    std::time::Duration,
};

/// The calls that read a replica's prompt cache.
pub const CACHE_CALLS: CacheProtocol = CacheProtocol {
    list_request: list_call,
    parse_list,
    events_request: events_call,
    parse_events,
};

/// Request header: how long the replica may hold a call for events, in milliseconds.
const WAIT_HEADER: HeaderName = HeaderName::from_static("wait-ms");

/// A replica's list of its cached prompt parts, each as `[text, ID, tokens, model]`.
#[derive(Deserialize)]
struct ListJson {
    held: Vec<(Value, String, u32, Value)>,
}

/// Changes of a replica's prompt cache, each as `[number, "+" or "-", text, ID, tokens cached
/// after the change, model]`. A part may be evicted in several steps, which leave some of its
/// tokens at first.
#[derive(Deserialize)]
struct EventsJson {
    epoch: Value,
    next_token: u64, // number of the last event, despite its name
    lost: Value,     // whether events were lost; null, false or 0 if none
    events: Vec<(u64, String, Value, String, u32, Value)>,
}

fn list_call() -> Request<RequestBodyReader> {
    let mut request = Request::new(RequestBodyReader::default());
    *request.uri_mut() = Uri::from_static("/v1/kv-list");
    request
}

fn parse_list(text: &[u8]) -> Result<Vec<CachedPart>, Fault> {
    let list: ListJson = parse(text)?;
    let parts = list.held.into_iter().map(|(_, id, tokens, _)| CachedPart {
        part: part_id(&id),
        tokens,
    });
    Ok(parts.collect())
}

fn events_call(
    from: u64,
    wait: Duration,
) -> Request<RequestBodyReader> {
    let since = from.saturating_sub(1);
    let mut request = Request::new(RequestBodyReader::default());
    let target = format!("/v1/kv-events?since={since}");
    *request.uri_mut() = Uri::try_from(target).expect("a path with a number");
    let wait_ms = HeaderValue::from(wait.as_millis() as u64);
    request.headers_mut().insert(WAIT_HEADER, wait_ms);
    request
}

fn parse_events(
    from: u64,
    text: &[u8],
) -> Result<CacheEventBatch, Fault> {
    let json: EventsJson = parse(text)?;
    let is_lost = !matches!(json.lost, Value::Null | Value::Bool(false)) && json.lost != 0;
    let events = json.events.into_iter();
    let events = events.map(|(number, sign, _, id, tokens, _)| CacheEvent {
        number,
        part: part_id(&id),
        is_cached: sign == "+" && tokens > 0,
    });
    let mut batch = CacheEventBatch {
        epoch: name_hash(&json.epoch.to_string()),
        from: from.max(1),
        next: json.next_token.saturating_add(1),
        has_gap: false,
        is_snapshot: false,
        events: events.collect(),
    };
    batch.events.sort_by_key(|event| event.number);
    batch.has_gap = is_lost || batch.has_missing_numbers();
    Ok(batch)
}

fn parse<T: DeserializeOwned>(text: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(text).map_err(|error| Fault::new(ResultCode::PlatformReply, error))
}
