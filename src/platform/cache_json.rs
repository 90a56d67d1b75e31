use {
    super::prompt_headers::part_id,
    crate::{
        codes::{Fault, ResultCode},
        direct::CacheCalls,
        policy::placement::KeptPart,
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Uri},
    serde::Deserialize,
    serde_json::Value,
};

/// The calls that tell what a replica keeps.
pub const CACHE_CALLS: CacheCalls = CacheCalls {
    list: list_call,
    read_list: parse_list,
};

/// A replica's list of what it keeps: [text, ID, tokens, model] each.
#[derive(Deserialize)]
struct ListJson {
    held: Vec<(Value, String, u32, Value)>,
}

fn list_call() -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = Uri::from_static("/v1/kv-list");
    request
}

fn parse_list(text: &[u8]) -> Result<Vec<KeptPart>, Fault> {
    let list: ListJson = serde_json::from_slice(text)
        .map_err(|error| Fault::new(ResultCode::PlatformReply, error))?;
    let parts = list.held.into_iter().map(|(_, id, tokens, _)| KeptPart {
        part: part_id(&id),
        tokens,
    });
    Ok(parts.collect())
}
