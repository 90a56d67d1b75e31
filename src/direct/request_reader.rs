use {
    super::{call::Call, gateway::Gateway, held_bytes::HeldBytes, reply::drop_connection_headers},
    crate::{
        codes::{ErrorAnswer, ResultCode},
        policy::{Moment, memory::MemoryBudget},
        routing::{Route, RoutingTable},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::{
        HeaderMap, Request, Uri,
        body::{Body, Incoming},
        header::{CONTENT_LENGTH, EXPECT, HOST, HeaderName, HeaderValue},
        http::request::Parts,
    },
    std::{sync::Arc, time::Duration},
};

/// When to come back to a router that has no configuration yet.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// When to come back, to another router, after this one stops.
const STOPPING_RETRY: Duration = Duration::from_millis(50);

/// When to come back to a router that stood still: others tell it of changes within a few
/// of their reports.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(200);

/// When to come back to a router that holds as much of requests as it may: bodies come and
/// go within less.
const BODIES_HELD_RETRY: Duration = Duration::from_millis(500);

/// How long a body may take.
const BODY_TIME: Duration = Duration::from_secs(10);

/// The text of a header; empty if there is none.
pub fn header_text<'h>(
    headers: &'h HeaderMap,
    name: &HeaderName,
) -> &'h str {
    let value = headers.get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Reads a caller's request whole and finds out whether and where it may go.
pub async fn read_call(
    gateway: &Gateway,
    request: Request<Incoming>,
    arrived: Moment,
) -> Result<Call, ErrorAnswer> {
    if gateway.is_refusing() {
        return Err(ErrorAnswer::new(ResultCode::Stopping).retry_after(STOPPING_RETRY));
    }
    if gateway.is_unconfirmed() {
        return Err(ErrorAnswer::new(ResultCode::Unconfirmed).retry_after(UNCONFIRMED_RETRY));
    }
    if gateway.processor.is_choked() {
        return Err(ErrorAnswer::new(ResultCode::RouterBusy).retry_after(gateway.least_retry()));
    }
    let table = gateway.catalog.config().ok_or_else(|| {
        ErrorAnswer::new(ResultCode::NoConfiguration).retry_after(NO_CONFIG_RETRY)
    })?;
    let (head, body) = request.into_parts();
    check_size(&table, &head)?;
    let route = find_route(&table, &head)?;
    let account = find_account(gateway, &table, &route, &head.headers)?;
    let held = HeldBytes::new(gateway.request_bytes.clone());
    let body = read_body(gateway, &table, &head.headers, body, &held).await?;
    let service = route
        .pick_service(rand::random())
        .ok_or_else(|| ErrorAnswer::new(ResultCode::NoReplica))?
        .clone();
    let names = &gateway.dialect.names;
    let deadline: Option<f64> = header_text(&head.headers, &names.deadline_ms).parse().ok();
    let patience = deadline.map_or(route.timeout, |ms| {
        Duration::from_secs_f64(ms.clamp(0.0, 3_600_000.0) / 1000.0)
    });
    let details = table.service(&service);
    Ok(Call {
        request_id: header_text(&head.headers, &names.request_id).to_owned(),
        method: head.method,
        target: target(&head.uri),
        engine: details.and_then(|service| service.engine),
        max_connections: details.map_or(1, |service| service.max_connections),
        service_aim: table
            .shortest_target_latency(&service)
            .unwrap_or(route.target_latency),
        prompt: (gateway.dialect.prompt)(&head.headers),
        headers: passed_on(gateway, head.headers, account.as_deref()),
        body,
        _held: held,
        service,
        regions: table.regions(&route, account.as_deref()),
        account,
        config_version: table.version,
        arrived,
        until: arrived + patience.min(route.timeout),
        route,
    })
}

/// Line ends and separators of a header's line.
const HEADER_EXTRA: usize = 4;

fn check_size(
    table: &RoutingTable,
    head: &Parts,
) -> Result<(), ErrorAnswer> {
    let line = head.method.as_str().len() + head.uri.to_string().len();
    let headers = head.headers.iter();
    let size: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_EXTRA)
        .sum();
    if line + size > table.limits.max_header_bytes {
        return Err(ErrorAnswer::new(ResultCode::HeaderTooLarge));
    }
    Ok(())
}

fn find_route(
    table: &RoutingTable,
    head: &Parts,
) -> Result<Arc<Route>, ErrorAnswer> {
    let host = head.uri.host().map(str::to_owned);
    let host = host.unwrap_or_else(|| header_text(&head.headers, &HOST).to_owned());
    table
        .route(&host, head.uri.path())
        .cloned()
        .ok_or_else(|| ErrorAnswer::new(ResultCode::NoRoute))
}

fn find_account(
    gateway: &Gateway,
    table: &RoutingTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<str>>, ErrorAnswer> {
    let key = header_text(headers, &gateway.dialect.names.key);
    let account = table.account(key).cloned();
    if account.is_none() && table.has_accounts() && !route.public {
        return Err(ErrorAnswer::new(ResultCode::UnknownCallerKey));
    }
    Ok(account)
}

async fn read_body(
    gateway: &Gateway,
    table: &RoutingTable,
    headers: &HeaderMap,
    body: Incoming,
    held: &HeldBytes,
) -> Result<Bytes, ErrorAnswer> {
    let most = table.limits.max_body_bytes;
    let declared: Option<u64> = header_text(headers, &CONTENT_LENGTH).parse().ok();
    if declared.is_some_and(|length| length > most as u64) {
        return Err(ErrorAnswer::new(ResultCode::BodyTooLarge));
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let budget = gateway.settings().request_memory;
    let reading = read_held(Limited::new(body, most), budget, held);
    tokio::time::timeout(BODY_TIME, reading)
        .await
        .unwrap_or_else(|_| Err(ErrorAnswer::new(ResultCode::BodyLate)))
}

/// Reads a body to its end while the budget permits what is held of it.
async fn read_held(
    mut body: Limited<Incoming>,
    budget: MemoryBudget,
    held: &HeldBytes,
) -> Result<Bytes, ErrorAnswer> {
    let mut pieces = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| body_error(&*error))?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        held.add(piece.len() as u64);
        if !budget.permits(held.own(), held.others()) {
            return Err(ErrorAnswer::new(ResultCode::BodiesHeld).retry_after(BODIES_HELD_RETRY));
        }
        pieces.push(piece);
    }
    Ok(match pieces.len() {
        1 => pieces.swap_remove(0),
        _ => pieces.concat().into(),
    })
}

fn body_error(error: &(dyn std::error::Error + Send + Sync + 'static)) -> ErrorAnswer {
    if error.is::<LengthLimitError>() {
        return ErrorAnswer::new(ResultCode::BodyTooLarge);
    }
    ErrorAnswer::new(ResultCode::BadBody).detail(format!("the body was cut: {error}"))
}

/// Path and query only.
fn target(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_default()
}

/// The headers that a replica gets, but for those that change by attempt.
fn passed_on(
    gateway: &Gateway,
    mut headers: HeaderMap,
    account: Option<&str>,
) -> HeaderMap {
    let names = &gateway.dialect.names;
    drop_connection_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    for name in &names.system {
        headers.remove(name);
    }
    if let Some(value) = account.and_then(|name| HeaderValue::from_str(name).ok()) {
        headers.insert(names.account.clone(), value);
    }
    headers
}
