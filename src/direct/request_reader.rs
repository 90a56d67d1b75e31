use {
    super::{
        call::Call,
        gateway::Gateway,
        reply::remove_hop_by_hop_headers,
        stream_version::{pick_service, taken_up_version},
        uploads::Upload,
    },
    crate::{
        callers::{BodyProgress, BodyReading, HeldBytes, RequestBody},
        codes::{ErrorAnswer, ResultCode},
        policy::{Moment, admits_despite_lag, name_hash, placement::PromptPart},
        routing::{Route, RoutingTable},
    },
    http_body_util::LengthLimitError,
    hyper::{
        HeaderMap, Uri,
        body::{Body, Incoming},
        header::{CONTENT_LENGTH, EXPECT, HOST, HeaderName, HeaderValue},
        http::request::Parts,
    },
    std::{sync::Arc, time::Duration},
};

/// Retry-After of a router that has no configuration yet.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry-After of a router that stops; the caller reconnects to another.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Retry-After of a router that was suspended: its peers report newer catalogs within a few
/// report intervals.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Retry-After of a router whose memory for request bodies is used up: most bodies are held for
/// a shorter time.
const BODIES_HELD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time-out for reading a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The text of a header; empty if it is missing or not plain ASCII.
pub fn header_text<'h>(
    headers: &'h HeaderMap,
    name: &HeaderName,
) -> &'h str {
    let value = headers.get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Reads a caller's request completely and determines its route, account and service. Returns
/// the error for the caller if it is refused; its head is left as it is, and its body may be unread
/// then.
pub async fn read_call(
    gateway: &Gateway,
    head: &mut Parts,
    body: &mut Incoming,
    progress: &BodyProgress,
    arrived: Moment,
) -> Result<Call, ErrorAnswer> {
    if gateway.is_refusing() {
        return Err(ErrorAnswer::new(ResultCode::Stopping).retry_after(STOPPING_RETRY_AFTER));
    }
    if gateway.is_unconfirmed() {
        return Err(ErrorAnswer::new(ResultCode::Unconfirmed).retry_after(UNCONFIRMED_RETRY_AFTER));
    }
    let table = gateway.catalog.config().ok_or_else(|| {
        ErrorAnswer::new(ResultCode::NoConfiguration).retry_after(NO_CONFIG_RETRY_AFTER)
    })?;
    check_size(&table, head)?;
    let route = find_route(&table, head)?;
    let account = find_account(gateway, &table, &route, &head.headers)?;
    check_lag(gateway, account.as_deref())?;
    if !progress.admits_request() {
        return Err(callers_full());
    }
    // Dropped after `held`: others wait until what this body holds is free.
    let upload = gateway.uploads.start();
    let held = HeldBytes::new(gateway.request_bytes.clone());
    let body = read_body(
        gateway,
        &table,
        &head.headers,
        body,
        progress,
        &upload,
        &held,
    )
    .await?;
    drop(upload);
    let names = &gateway.dialect.names;
    let deadline_ms: Option<f64> = header_text(&head.headers, &names.deadline_ms).parse().ok();
    let deadline_ms = deadline_ms.filter(|ms| !ms.is_nan());
    let timeout = deadline_ms.map_or(route.timeout, |ms| {
        Duration::from_secs_f64(ms.clamp(0.0, 3_600_000.0) / 1000.0)
    });
    let deadline = arrived + timeout.min(route.timeout);
    let time_left = deadline.saturating_sub(gateway.now());
    let stream_version = taken_up_version(gateway, &route, &head.headers, time_left).await?;
    let service = pick_service(gateway, &route, stream_version)
        .ok_or_else(|| ErrorAnswer::new(ResultCode::NoReplica))?
        .clone();
    let details = table.service(&service);
    let prompt = (gateway.dialect.parse_prompt)(&head.headers);
    let parts = prompt.as_ref().map_or(0, |prompt| prompt.parts.capacity());
    progress.record_request(parts * size_of::<PromptPart>());
    Ok(Call {
        request_id: header_text(&head.headers, &names.request_id).to_owned(),
        method: head.method.clone(),
        target: path_and_query(&head.uri),
        engine: details.and_then(|service| service.engine),
        max_connections: details.map_or(1, |service| service.max_connections),
        shortest_target_latency: table
            .shortest_target_latency(&service)
            .unwrap_or(route.target_latency),
        prompt,
        stream_version,
        headers: forwarded_headers(
            gateway,
            std::mem::take(&mut head.headers),
            account.as_deref(),
        ),
        body,
        _body_memory: held,
        service,
        regions: table.regions(&route, account.as_deref()),
        account,
        config_version: table.version,
        arrived,
        deadline,
        route,
    })
}

/// Bytes of a header line besides name and value: the separator `: ` and the line end.
const HEADER_LINE_OVERHEAD: usize = 4;

fn check_size(
    table: &RoutingTable,
    head: &Parts,
) -> Result<(), ErrorAnswer> {
    let line = head.method.as_str().len() + head.uri.to_string().len();
    let headers = head.headers.iter();
    let size: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD)
        .sum();
    if line + size > table.limits.max_header_bytes {
        return Err(ErrorAnswer::new(ResultCode::HeaderTooLarge));
    }
    Ok(())
}

pub(super) fn find_route(
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
    let key = header_text(headers, &gateway.dialect.names.account_key);
    let account = table.account(key).cloned();
    if account.is_none() && table.has_accounts() && !route.public {
        return Err(ErrorAnswer::new(ResultCode::UnknownCallerKey));
    }
    Ok(account)
}

/// Refuses a request for want of processor time, unless its account is served much less than
/// others.
fn check_lag(
    gateway: &Gateway,
    account: Option<&str>,
) -> Result<(), ErrorAnswer> {
    if !gateway.processor.is_lagging() {
        return Ok(());
    }
    let fraction = account.map_or(1.0, |account| {
        let now = gateway.now();
        gateway.shares().served_fraction(now, name_hash(account))
    });
    match admits_despite_lag(gateway.processor.lag(), fraction) {
        true => Ok(()),
        false => {
            let error = ErrorAnswer::new(ResultCode::RouterBusy);
            Err(error.retry_after(gateway.min_retry_after()))
        }
    }
}

fn callers_full() -> ErrorAnswer {
    ErrorAnswer::new(ResultCode::CallersFull).retry_after(BODIES_HELD_RETRY_AFTER)
}

fn bodies_held() -> ErrorAnswer {
    ErrorAnswer::new(ResultCode::BodiesHeld).retry_after(BODIES_HELD_RETRY_AFTER)
}

/// Reads a body to its end, as long as memory permits. What it takes is added to `held`.
async fn read_body(
    gateway: &Gateway,
    table: &RoutingTable,
    headers: &HeaderMap,
    body: &mut Incoming,
    progress: &BodyProgress,
    upload: &Upload<'_>,
    held: &HeldBytes,
) -> Result<RequestBody, ErrorAnswer> {
    let max_bytes = table.limits.max_body_bytes;
    let declared: Option<u64> = header_text(headers, &CONTENT_LENGTH).parse().ok();
    if declared.is_some_and(|length| length > max_bytes as u64) {
        return Err(ErrorAnswer::new(ResultCode::BodyTooLarge));
    }
    if body.is_end_stream() {
        return Ok(RequestBody::default());
    }
    let budget = gateway.settings().request_memory;
    let reading = async {
        let mut reading = BodyReading::new(body, max_bytes, progress, held);
        while reading
            .read_more()
            .await
            .map_err(|error| body_error(&*error))?
        {
            if !upload.wait_for_room(budget, held).await {
                return Err(bodies_held());
            }
            if !progress.record_held(held.own()).await {
                return Err(callers_full());
            }
        }
        Ok(reading.finish())
    };
    tokio::select! {
        read = reading => read,
        () = upload.refused() => Err(bodies_held()),
        () = tokio::time::sleep(BODY_TIMEOUT) => Err(ErrorAnswer::new(ResultCode::BodyLate)),
    }
}

fn body_error(error: &(dyn std::error::Error + Send + Sync + 'static)) -> ErrorAnswer {
    if error.is::<LengthLimitError>() {
        return ErrorAnswer::new(ResultCode::BodyTooLarge);
    }
    ErrorAnswer::new(ResultCode::BadBody).detail(format!("the body was cut: {error}"))
}

/// The path and query of a URI.
fn path_and_query(uri: &Uri) -> Uri {
    let path_and_query = uri.path_and_query().cloned();
    path_and_query.map(Uri::from).unwrap_or_default()
}

/// The headers that replicas get, without those set for each attempt.
fn forwarded_headers(
    gateway: &Gateway,
    mut headers: HeaderMap,
    account: Option<&str>,
) -> HeaderMap {
    let names = &gateway.dialect.names;
    remove_hop_by_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(EXPECT);
    for name in &names.reserved {
        headers.remove(name);
    }
    if let Some(value) = account.and_then(|name| HeaderValue::from_str(name).ok()) {
        headers.insert(names.account.clone(), value);
    }
    headers
}
