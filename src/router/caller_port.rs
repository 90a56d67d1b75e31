use {
    super::{
        body_reader::read_body,
        classify::{RawRequest, authenticate, classify},
        reply::{answer_reply, error_reply, json_reply},
        request_flow::answer_request,
        router::Router,
    },
    crate::{
        callers::{BodyProgress, HeldBytes, ReplyBody, discard_body},
        codes::{ErrorAnswer, ResultCode},
        fleet::{FleetConfig, GroupKind},
        ops::{REQUESTS, catch_panic},
    },
    bytes::Bytes,
    hyper::{Request, Response, body::Incoming, http::request::Parts},
    serde_json::json,
    std::{sync::Arc, time::Duration},
};

/// The load balancer's readiness check. It needs no API key.
const READY_PATH: &str = "/archmast/ready";

/// Lists the models that a caller may use.
const MODELS_PATH: &str = "/v1/models";

/// Answers one request of a caller.
pub async fn answer_caller(
    router: Arc<Router>,
    request: Request<Incoming>,
    progress: BodyProgress,
) -> Response<ReplyBody> {
    let (head, mut body) = request.into_parts();
    if head.uri.path() == READY_PATH {
        discard_body(body, router.settings.max_body, progress);
        return readiness_reply(&router);
    }
    let request_id = format!("{:016x}", rand::random::<u64>());
    let answered = catch_panic(answer(&router, &head, &mut body, &progress, &request_id)).await;
    let answered = answered.unwrap_or_else(|| Err(ErrorAnswer::new(ResultCode::OutcomeUnknown)));
    answered.unwrap_or_else(|error| {
        discard_body(body, router.settings.max_body, progress);
        error_reply(&error, &request_id)
    })
}

async fn answer(
    router: &Arc<Router>,
    head: &Parts,
    body: &mut Incoming,
    progress: &BodyProgress,
    request_id: &str,
) -> Result<Response<ReplyBody>, ErrorAnswer> {
    let current = router
        .node
        .config
        .current()
        .filter(|_| router.node.readiness.is_confirmed())
        .ok_or_else(|| {
            ErrorAnswer::new(ResultCode::NoConfiguration).retry_after(Duration::from_secs(1))
        })?;
    refuse_while_stopping(router)?;
    let mut raw = raw_request(head, request_id);
    let account = authenticate(&current.config, &raw)?;
    let held = HeldBytes::new(router.body_bytes.clone());
    raw.body = read_body(body, router.settings.max_body, progress, &held).await?;
    // A request whose body does not come must not keep the process from stopping.
    let open_request = router.count_open(request_id);
    refuse_while_stopping(router)?;
    if raw.path == MODELS_PATH && raw.method == "GET" {
        return Ok(models_reply(&current.config));
    }
    let hosts = router.node.hosts.current();
    let prefix_bytes = router.settings.prefix_bytes;
    let request = classify(&current.config, account, &hosts, prefix_bytes, raw)?;
    let answer = Box::pin(answer_request(router, &request)).await?;
    metrics::counter!(REQUESTS, "code" => "0", "ran" => "yes").increment(1);
    let is_chat = request.model.is_some();
    let is_head_request = request.method == "HEAD";
    Ok(answer_reply(answer, is_chat, is_head_request, open_request))
}

fn refuse_while_stopping(router: &Router) -> Result<(), ErrorAnswer> {
    match router.is_refusing() {
        true => Err(ErrorAnswer::new(ResultCode::Stopping).retry_after(Duration::from_secs(1))),
        false => Ok(()),
    }
}

/// A request without its body.
fn raw_request(
    head: &Parts,
    request_id: &str,
) -> RawRequest {
    let headers = head.headers.iter().map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes());
        (name.to_string(), value.into_owned())
    });
    RawRequest {
        request_id: request_id.to_owned(),
        method: head.method.as_str().to_owned(),
        path: head.uri.path().to_owned(),
        query: head.uri.query().map(str::to_owned),
        headers: headers.collect(),
        body: Bytes::new(),
    }
}

fn models_reply(config: &FleetConfig) -> Response<ReplyBody> {
    let data: Vec<_> = config
        .groups
        .iter()
        .filter_map(|group| match &group.kind {
            GroupKind::Model { models, .. } => Some((group, models)),
            GroupKind::Plain { .. } => None,
        })
        .flat_map(|(group, models)| {
            models.iter().map(|model| {
                json!({"id": model, "object": "model", "created": 0, "owned_by": group.name})
            })
        })
        .collect();
    json_reply(200, json!({"object": "list", "data": data}).to_string())
}

fn readiness_reply(router: &Router) -> Response<ReplyBody> {
    let ready = router.node.is_ready();
    json_reply(
        if ready { 200 } else { 503 },
        json!({"ready": ready}).to_string(),
    )
}
