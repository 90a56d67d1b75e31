use {
    super::prompt_headers::part_id,
    crate::{
        codes::{Fault, ResultCode},
        direct::CacheProtocol,
        policy::{
            placement::{KeptEvent, KeptNews, KeptPart},
            short_name,
        },
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Uri,
        header::{HeaderName, HeaderValue},
    },
    serde::{Deserialize, de::DeserializeOwned},
    serde_json::Value,
    std::time::Duration,
};

/// The calls that tell what a replica keeps.
pub const CACHE_CALLS: CacheProtocol = CacheProtocol {
    list_request: list_call,
    parse_list,
    events_request: events_call,
    parse_events,
};

/// How long a call for events may be held, in milliseconds.
const WAIT: HeaderName = HeaderName::from_static("wait-ms");

/// A replica's list of what it keeps: [text, ID, tokens, model] each.
#[derive(Deserialize)]
struct ListJson {
    held: Vec<(Value, String, u32, Value)>,
}

/// What changed there: [number, + or -, text, ID, tokens kept now, model] each. Of a part
/// that is given up in steps some tokens are left for a moment.
#[derive(Deserialize)]
struct EventsJson {
    epoch: Value,
    next_token: u64, // number of the last event
    lost: Value,     // false or 0: nothing
    events: Vec<(u64, String, Value, String, u32, Value)>,
}

fn list_call() -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = Uri::from_static("/v1/kv-list");
    request
}

fn parse_list(text: &[u8]) -> Result<Vec<KeptPart>, Fault> {
    let list: ListJson = parse(text)?;
    let parts = list.held.into_iter().map(|(_, id, tokens, _)| KeptPart {
        part: part_id(&id),
        tokens,
    });
    Ok(parts.collect())
}

fn events_call(
    from: u64,
    wait: Duration,
) -> Request<Full<Bytes>> {
    let since = from.saturating_sub(1);
    let mut request = Request::new(Full::default());
    let target = format!("/v1/kv-events?since={since}");
    *request.uri_mut() = Uri::try_from(target).expect("a path with a number");
    let wait = HeaderValue::from(wait.as_millis() as u64);
    request.headers_mut().insert(WAIT, wait);
    request
}

fn parse_events(
    from: u64,
    text: &[u8],
) -> Result<KeptNews, Fault> {
    let json: EventsJson = parse(text)?;
    let is_lost = !matches!(json.lost, Value::Null | Value::Bool(false)) && json.lost != 0;
    let events = json.events.into_iter();
    let events = events.map(|(number, sign, _, id, tokens, _)| KeptEvent {
        number,
        part: part_id(&id),
        is_kept: sign == "+" && tokens > 0,
    });
    let mut news = KeptNews {
        epoch: short_name(&json.epoch.to_string()),
        from: from.max(1),
        next: json.next_token.saturating_add(1),
        has_gap: false,
        is_again: false,
        events: events.collect(),
    };
    news.events.sort_by_key(|event| event.number);
    news.has_gap = is_lost || news.lacks_numbers();
    Ok(news)
}

fn parse<T: DeserializeOwned>(text: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(text).map_err(|error| Fault::new(ResultCode::PlatformReply, error))
}
