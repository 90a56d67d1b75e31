use {
    super::caller_request::CallerRequest,
    crate::{
        codes::{ErrorAnswer, ResultCode},
        fleet::{
            Account, ExcludedBy, Exclusion, FleetConfig, Group, HostEntry, HostList, HostRole,
            LABELS_HEADER, Labels, Placement, RequestLabels,
        },
        policy::{HostSet, PrefixHash, rendezvous},
    },
    bytes::Bytes,
    serde::{
        Deserialize, Deserializer,
        de::{IgnoredAny, SeqAccess, Visitor},
    },
    serde_json::value::RawValue,
    std::{fmt, sync::Arc, time::Duration},
};

/// The path of the chat-completions API.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// The header with the caller's idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// `Retry-After` of a refusal because all upstreams are in cordoned zones.
const CORDONED_RETRY_AFTER: Duration = Duration::from_secs(1);

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Headers of a request that are not forwarded: they belong to one connection, or the fleet
/// sets them itself.
const UNFORWARDED_HEADERS: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-archmast-priority",
    "x-request-id",
];

/// Not forwarded with chat requests: sidecars search the events of chat streams for the end
/// mark and the tokens, which a content coding would hide.
const ACCEPT_ENCODING_HEADER: &str = "accept-encoding";

/// A request as received from the caller.
pub struct RawRequest {
    pub request_id: String,
    pub method: String,
    pub path: String,
    pub query: Option<String>,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
}

#[derive(Deserialize)]
struct ChatBody<'b> {
    model: String,
    #[serde(borrow)]
    messages: Messages<'b>,
}

/// The messages of a chat, of which only the first is looked at, as its text. As parsed values they
/// would take many times the memory of their text.
struct Messages<'b> {
    first: Option<&'b RawValue>,
}

impl<'de: 'b, 'b> Deserialize<'de> for Messages<'b> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(MessagesVisitor)
    }
}

struct MessagesVisitor;

impl<'de> Visitor<'de> for MessagesVisitor {
    type Value = Messages<'de>;

    fn expecting(
        &self,
        f: &mut fmt::Formatter,
    ) -> fmt::Result {
        f.write_str("a list of messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(
        self,
        mut messages: A,
    ) -> Result<Messages<'de>, A::Error> {
        let first = messages.next_element()?;
        while messages.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Messages { first })
    }
}

/// What a request addresses, according to its path and, for chat, its body.
struct RequestTarget<'c> {
    group: &'c Group,
    model: Option<String>,
    prefix: Option<PrefixHash>,
}

/// Validates a request of an account and determines which hosts may serve it.
///
/// The error tells the caller why the request is refused: an unknown model or path, an invalid body
/// or header, or no eligible host.
pub fn classify(
    config: &FleetConfig,
    account: &Account,
    hosts: &HostList,
    prefix_bytes: usize,
    raw: RawRequest,
) -> Result<CallerRequest, ErrorAnswer> {
    let target = find_target(config, prefix_bytes, &raw)?;
    let group = target.group;
    let caller_labels = parse_labels(&raw)?;
    let default_class = &config.classes[account.class];
    let model = target.model.as_deref();
    let default_labels = RequestLabels::build(account, default_class, group, model, &caller_labels);
    let class = config.class_of(account, &default_labels);
    let labels = RequestLabels::build(account, class, group, model, &caller_labels);
    let repeatable = group.may_repeat(&raw.method);
    let idempotency_key = match header(&raw, IDEMPOTENCY_KEY_HEADER) {
        Some(key) if !repeatable => Some(validate_key(key)?),
        _ => None,
    };
    let hosts = match &idempotency_key {
        None => eligible_hosts(config, group, &labels, hosts.live(HostRole::Sidecar))?,
        Some(key) => {
            let listed = hosts.hosts.iter().filter(|h| h.role == HostRole::Sidecar);
            key_owner(
                account,
                key,
                &eligible_hosts(config, group, &labels, listed)?,
            )
        }
    };
    let path = match &raw.query {
        Some(query) => format!("{}?{query}", raw.path),
        None => raw.path.clone(),
    };
    Ok(CallerRequest {
        account: account.id,
        class: class.name.clone(),
        patience: class.patience,
        group: group.name.clone(),
        labels: caller_labels,
        path,
        headers: forwarded_headers(&raw.headers, target.model.is_some()),
        hosts,
        repeatable,
        idempotency_key,
        model: target.model,
        prefix: target.prefix,
        request_id: raw.request_id,
        method: raw.method,
        body: raw.body,
    })
}

/// The account that owns the request's API key. Fails with `UnknownCallerKey`.
pub fn authenticate<'c>(
    config: &'c FleetConfig,
    raw: &RawRequest,
) -> Result<&'c Account, ErrorAnswer> {
    header(raw, "authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .and_then(|key| config.account_of_key(key.trim()))
        .ok_or_else(|| ErrorAnswer::new(ResultCode::UnknownCallerKey))
}

fn find_target<'c>(
    config: &'c FleetConfig,
    prefix_bytes: usize,
    raw: &RawRequest,
) -> Result<RequestTarget<'c>, ErrorAnswer> {
    if raw.path != CHAT_PATH {
        let group = config.group_of_path(&raw.path).ok_or_else(|| {
            ErrorAnswer::new(ResultCode::UnknownModel)
                .detail(format!("no group serves the path {}", raw.path))
        })?;
        return Ok(RequestTarget {
            group,
            model: None,
            prefix: None,
        });
    }
    let body: ChatBody<'_> = serde_json::from_slice(&raw.body).map_err(|error| {
        ErrorAnswer::new(ResultCode::BadBody).detail(format!("cannot read the body: {error}"))
    })?;
    let group = config.group_of_model(&body.model).ok_or_else(|| {
        ErrorAnswer::new(ResultCode::UnknownModel)
            .detail(format!("no group serves the model {}", body.model))
    })?;
    Ok(RequestTarget {
        group,
        prefix: Some(prefix_hash(&body, prefix_bytes)),
        model: Some(body.model),
    })
}

fn prefix_hash(
    body: &ChatBody<'_>,
    prefix_bytes: usize,
) -> PrefixHash {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(body.model.as_bytes());
    if let Some(first) = body.messages.first {
        let text = first.get().as_bytes();
        hasher.update(&text[..text.len().min(prefix_bytes)]);
    }
    hasher.finalize()
}

fn eligible_hosts<'h>(
    config: &FleetConfig,
    group: &Group,
    labels: &Labels,
    hosts: impl Iterator<Item = &'h HostEntry>,
) -> Result<HostSet, ErrorAnswer> {
    let placement = config.place(group, labels, hosts);
    if placement.hosts.is_empty() {
        return Err(placement_error(group, &placement));
    }
    Ok(placement.hosts.into_iter().map(Arc::from).collect())
}

fn placement_error(
    group: &Group,
    placement: &Placement,
) -> ErrorAnswer {
    let excluded: Vec<String> = placement
        .excluded
        .iter()
        .map(Exclusion::to_string)
        .collect();
    let mut exclusion_reasons = placement.excluded.iter().map(|exclusion| &exclusion.by);
    if exclusion_reasons.any(|by| *by == ExcludedBy::Cordon) {
        return ErrorAnswer::new(ResultCode::Cordoned)
            .retry_after(CORDONED_RETRY_AFTER)
            .detail(format!(
                "every upstream is excluded: {}",
                excluded.join(", ")
            ));
    }
    let detail = if excluded.is_empty() {
        format!("group {} has no live upstream", group.name)
    } else {
        format!("every upstream is excluded: {}", excluded.join(", "))
    };
    ErrorAnswer::new(ResultCode::NoPlacement).detail(detail)
}

/// The one host whose sidecar records the key. The choice does not depend on which hosts
/// are reachable: otherwise a repeated request could reach a host that has no record of
/// the first one.
fn key_owner(
    account: &Account,
    key: &str,
    hosts: &HostSet,
) -> HostSet {
    let name = format!("{}/{key}", account.id);
    let order = rendezvous(&name, hosts.iter().map(|host| &**host));
    order.into_iter().take(1).map(Arc::from).collect()
}

fn validate_key(key: &str) -> Result<String, ErrorAnswer> {
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(ErrorAnswer::new(ResultCode::BadHeader).detail(format!(
            "an idempotency key has 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes"
        )));
    }
    Ok(key.to_owned())
}

fn parse_labels(raw: &RawRequest) -> Result<Labels, ErrorAnswer> {
    let text = header(raw, LABELS_HEADER).unwrap_or("");
    Labels::parse(text).ok_or_else(|| {
        ErrorAnswer::new(ResultCode::BadHeader)
            .detail(format!("{LABELS_HEADER} is not a list of name=value"))
    })
}

fn header<'r>(
    raw: &'r RawRequest,
    name: &str,
) -> Option<&'r str> {
    raw.headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

fn forwarded_headers(
    headers: &[(String, String)],
    is_chat: bool,
) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .filter(|(name, _)| {
            let name = name.to_ascii_lowercase();
            let hides_events = is_chat && name == ACCEPT_ENCODING_HEADER;
            !UNFORWARDED_HEADERS.contains(&name.as_str()) && name != LABELS_HEADER && !hides_events
        })
        .map(|(name, value)| (name.clone(), value.as_bytes().to_vec()))
        .collect()
}
