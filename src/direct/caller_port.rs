use {
    super::{
        call::Call,
        call_origin::CallOrigin,
        exchange::Exchange,
        gateway::Gateway,
        refused_body::RefusedBody,
        reply::error_reply,
        request_reader::{header_text, read_call},
        unanswered::Unanswered,
    },
    crate::{
        callers::{BodyProgress, ReplyBody},
        codes::{ErrorAnswer, ResultCode},
        ops::{ANSWER_SECONDS, REQUESTS, catch_panic},
        policy::{Moment, shares::AccountShare},
    },
    hyper::{
        Request, Response,
        body::Incoming,
        header::{CONNECTION, EXPECT, HeaderValue},
    },
    std::{convert::Infallible, sync::Arc},
};

/// Answers one request of a caller. With `closes_connection`, or if the router sheds callers,
/// the answer closes its connection.
pub async fn answer_caller(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
    progress: BodyProgress,
    closes_connection: bool,
) -> Result<Response<ReplyBody>, Infallible> {
    let arrived = gateway.now();
    let request_id = header_text(request.headers(), &gateway.dialect.names.request_id).to_owned();
    let answered = catch_panic(answer(&gateway, request, progress, &request_id, arrived)).await;
    let (mut response, closes) = answered.unwrap_or_else(|| {
        let error = ErrorAnswer::new(ResultCode::OutcomeUnknown);
        log_refused(
            &gateway,
            &request_id,
            &CallOrigin::default(),
            &error,
            arrived,
        );
        (error_reply(&gateway, &error, &request_id), true)
    });
    if closes_connection || closes || gateway.closes_connections() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Reads a request and answers it. The flag tells whether the answer must close the connection.
async fn answer(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    progress: BodyProgress,
    request_id: &str,
    arrived: Moment,
) -> (Response<ReplyBody>, bool) {
    let (mut head, mut body) = request.into_parts();
    let awaits_continue = head.headers.contains_key(EXPECT);
    match read_call(gateway, &mut head, &mut body, &progress, arrived).await {
        Err(error) => {
            let origin = CallOrigin::of(gateway, &head);
            if error.retry_after.is_some() {
                gateway.record_requested(origin.account.as_deref(), origin.tokens);
            }
            log_refused(gateway, request_id, &origin, &error, arrived);
            let body = RefusedBody::new(body, awaits_continue, error.code);
            // Elsewhere there may be room.
            let is_full = error.code == ResultCode::CallersFull;
            let closes = is_full || body.is_abandoned();
            body.discard(gateway, progress);
            (error_reply(gateway, &error, request_id), closes)
        }
        Ok(call) => {
            progress.record_end();
            progress.record_sending();
            // Boxed, so that a request whose body is awaited does not reserve memory for this future.
            (Box::pin(answer_call(gateway, Arc::new(call))).await, false)
        }
    }
}

async fn answer_call(
    gateway: &Arc<Gateway>,
    call: Arc<Call>,
) -> Response<ReplyBody> {
    let outcome = Exchange::new(gateway.clone(), call.clone()).run().await;
    match outcome {
        Ok(response) => {
            log_answer(gateway, &call, response.status().as_u16());
            response
        }
        Err(Unanswered { error, share }) => {
            log_unanswered(gateway, &call, &error, &share.unwrap_or_default());
            error_reply(gateway, &error, &call.request_id)
        }
    }
}

fn log_answer(
    gateway: &Gateway,
    call: &Call,
    status: u16,
) {
    let took = gateway.now().saturating_sub(call.arrived);
    gateway
        .account_log
        .record(call.account.as_ref(), call.tokens(), None);
    metrics::counter!(REQUESTS, "code" => "0", "ran" => "yes").increment(1);
    metrics::histogram!(ANSWER_SECONDS, "route" => call.route.name.clone())
        .record(took.as_secs_f64());
    log::info!(
        request_id = call.request_id.as_str(),
        route = call.route.name.as_str(),
        account = call.account.as_deref().unwrap_or(""),
        config = call.config_version,
        status = status,
        ms = took.as_millis() as u64;
        "answer begins"
    );
}

/// Counts a request that ends with an error.
pub(super) fn count_error(error: &ErrorAnswer) {
    let code = error.code.number().to_string();
    metrics::counter!(REQUESTS, "code" => code, "ran" => error.ran.to_string()).increment(1);
}

/// Logs a request that was refused before it became a call.
fn log_refused(
    gateway: &Gateway,
    request_id: &str,
    origin: &CallOrigin,
    error: &ErrorAnswer,
    arrived: Moment,
) {
    count_error(error);
    let CallOrigin {
        route,
        account,
        tokens,
    } = origin;
    gateway
        .account_log
        .record(account.as_ref(), *tokens, Some(error.code));
    if matches!(
        error.code,
        ResultCode::NoRoute | ResultCode::UnknownCallerKey
    ) {
        log_configuration(gateway, request_id);
    }
    log::info!(
        request_id = request_id,
        route = route.as_ref().map_or("", |route| &route.name),
        account = account.as_deref().unwrap_or(""),
        tokens = *tokens as u64,
        config = gateway.catalog.version().config,
        code = error.code.number(),
        ran = error.ran.to_string().as_str(),
        retry_after_ms = error.retry_after.map_or(0, |wait| wait.as_millis() as u64),
        ms = gateway.now().saturating_sub(arrived).as_millis() as u64;
        "not answered: {}", error.code.meaning()
    );
}

/// Logs a call that ended without an answer, with the usage figures of its account.
fn log_unanswered(
    gateway: &Gateway,
    call: &Call,
    error: &ErrorAnswer,
    share: &AccountShare,
) {
    count_error(error);
    gateway
        .account_log
        .record(call.account.as_ref(), call.tokens(), Some(error.code));
    log::info!(
        request_id = call.request_id.as_str(),
        route = call.route.name.as_str(),
        account = call.account.as_deref().unwrap_or(""),
        tokens = call.tokens() as u64,
        standing = share.status.name(),
        account_asked = share.usage.requested as u64,
        account_got = share.usage.allocated as u64,
        account_lately = share.recent_ratio,
        account_level = share.fair_level_tokens(),
        divided = share.capacity as u64,
        config = call.config_version,
        code = error.code.number(),
        ran = error.ran.to_string().as_str(),
        retry_after_ms = error.retry_after.map_or(0, |wait| wait.as_millis() as u64),
        ms = gateway.now().saturating_sub(call.arrived).as_millis() as u64;
        "not answered: {}", error.code.meaning()
    );
}

/// Logs the age of the configuration that led to a refusal, and the time since the store last
/// answered this router.
fn log_configuration(
    gateway: &Gateway,
    request_id: &str,
) {
    let origin = gateway.catalog.config_origin();
    let answered = gateway.store_reads.answer_age(gateway.now());
    log::info!(
        request_id = request_id,
        config = origin.as_ref().map_or(0, |origin| origin.version),
        from = origin.as_ref().map_or("nobody", |origin| &*origin.from),
        config_age_ms = origin.as_ref().map(|origin| origin.age.as_millis() as u64),
        store_age_ms = answered.map(|age| age.as_millis() as u64),
        reads_store = gateway.store_reads.is_reader();
        "refused by this configuration"
    );
}
