use {
    super::{
        answer_body::{PartialAnswer, TruncationSignal},
        classify::{RawRequest, authenticate, classify},
        counted_body::CountedBody,
        request_flow::{Answer, answer_request},
        router::{OpenRequest, Router},
    },
    crate::{
        codes::{ErrorAnswer, ResultCode},
        fleet::{FleetConfig, GroupKind},
        ops::{REQUESTS, quiet_config},
    },
    rocket::{
        Data, Ignite, Request, Response, Rocket, Route, async_trait,
        data::ByteUnit,
        http::{Method, Status},
        route::{Handler, Outcome},
    },
    serde_json::json,
    std::{io::Cursor, sync::Arc, time::Duration},
    tokio_util::io::StreamReader,
};

/// How long the last bytes may take to reach their callers when the process stops.
const FLUSH_TIMEOUT_SECONDS: u32 = 10;

/// The load balancer's readiness check. It needs no API key.
const READY_PATH: &str = "/archmast/ready";

/// Lists the models that a caller may use.
const MODELS_PATH: &str = "/v1/models";

/// Headers of an upstream's answer that are not forwarded: they belong to one connection,
/// or the router sets them itself.
const UNFORWARDED_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "date",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

const METHODS: &[Method] = &[
    Method::Get,
    Method::Head,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
    Method::Options,
];

/// The HTTP handler for callers, for every method and path.
#[derive(Clone)]
struct CallerPort {
    router: Arc<Router>,
}

/// The HTTP server for callers, ready to launch.
pub async fn caller_server(router: Arc<Router>) -> Result<Rocket<Ignite>, rocket::Error> {
    let mut config = quiet_config(router.settings.caller_listen);
    config.workers = router.settings.process.workers;
    config.shutdown.grace = FLUSH_TIMEOUT_SECONDS;
    config.shutdown.mercy = FLUSH_TIMEOUT_SECONDS;
    let port = CallerPort { router };
    let routes: Vec<Route> = METHODS
        .iter()
        .map(|method| Route::new(*method, "/<path..>", port.clone()))
        .collect();
    rocket::custom(config).mount("/", routes).ignite().await
}

#[async_trait]
impl Handler for CallerPort {
    async fn handle<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
    ) -> Outcome<'r> {
        let path = request.uri().path().as_str();
        if path == READY_PATH {
            return Outcome::Success(readiness_response(&self.router));
        }
        let request_id = format!("{:016x}", rand::random::<u64>());
        let response = match self.answer(request, data, &request_id).await {
            Ok(response) => response,
            Err(error) => error_response(&error, &request_id),
        };
        Outcome::Success(response)
    }
}

impl CallerPort {
    async fn answer<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
        request_id: &str,
    ) -> Result<Response<'r>, ErrorAnswer> {
        let open_request = self.router.count_open(request_id);
        if self.router.is_refusing() {
            return Err(ErrorAnswer::new(ResultCode::Stopping).retry_after(Duration::from_secs(1)));
        }
        let current = self
            .router
            .node
            .config
            .current()
            .filter(|_| self.router.node.readiness.is_confirmed())
            .ok_or_else(|| {
                ErrorAnswer::new(ResultCode::NoConfiguration).retry_after(Duration::from_secs(1))
            })?;
        let raw = self.read_request(request, data, request_id).await?;
        if raw.path == MODELS_PATH && raw.method == "GET" {
            authenticate(&current.config, &raw)?;
            return Ok(models_response(&current.config));
        }
        let hosts = self.router.node.hosts.current();
        let prefix_bytes = self.router.settings.prefix_bytes;
        let request = classify(&current.config, &hosts, prefix_bytes, raw)?;
        let answer = answer_request(&self.router, &request).await?;
        metrics::counter!(REQUESTS, "code" => "0", "ran" => "yes").increment(1);
        let is_chat = request.model.is_some();
        let is_head_request = request.method == "HEAD";
        Ok(to_response(answer, is_chat, is_head_request, open_request))
    }

    async fn read_request<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
        request_id: &str,
    ) -> Result<RawRequest, ErrorAnswer> {
        let bound = self.router.settings.max_body;
        let body = data
            .open(ByteUnit::Byte(bound))
            .into_bytes()
            .await
            .map_err(|_| ErrorAnswer::new(ResultCode::BadBody).detail("the body was cut"))?;
        if !body.is_complete() {
            return Err(ErrorAnswer::new(ResultCode::BodyTooLarge)
                .detail(format!("the body is over {bound} bytes")));
        }
        let headers = request
            .headers()
            .iter()
            .map(|header| (header.name.to_string(), header.value.to_string()))
            .collect();
        Ok(RawRequest {
            request_id: request_id.to_owned(),
            method: request.method().as_str().to_owned(),
            path: request.uri().path().to_string(),
            query: request.uri().query().map(|query| query.to_string()),
            headers,
            body: body.into_inner().into(),
        })
    }
}

fn to_response<'r>(
    answer: Answer,
    is_chat: bool,
    is_head_request: bool,
    open_request: OpenRequest,
) -> Response<'r> {
    let mut response = Response::build();
    response.status(Status::new(answer.head.status));
    for (name, value) in &answer.head.headers {
        let is_unforwarded = UNFORWARDED_HEADERS.contains(&name.to_ascii_lowercase().as_str());
        if let (false, Ok(value)) = (is_unforwarded, std::str::from_utf8(value)) {
            response.raw_header_adjoin(name.clone(), value.to_owned());
        }
    }
    response.raw_header("x-request-id", open_request.request_id().to_owned());
    let Some(reader) = answer.unread else {
        let body = answer.buffered.concat();
        // The length that such an answer declares is the one of a body that is not sent.
        let has_no_body = is_head_request || answer.head.status == Status::NotModified.code;
        let length = if has_no_body {
            answer.head.declared_length()
        } else {
            Some(body.len() as u64)
        };
        let body = CountedBody::new(body, open_request);
        match length {
            Some(length) => response.sized_body(length as usize, body),
            None => response.streamed_body(body),
        };
        return response.finalize();
    };
    let signal = match answer.head.declared_length() {
        Some(length) if !answer.head.is_event_stream() => {
            response.raw_header("content-length", length.to_string());
            TruncationSignal::ContentLength
        }
        _ if is_chat => TruncationSignal::ChatEvent,
        _ => TruncationSignal::NamedEvent,
    };
    let mut partial = PartialAnswer::new(answer.buffered, reader, signal, open_request);
    if answer.head.is_event_stream() && !answer.head.is_encoded() {
        partial = partial.split_events();
    }
    response.streamed_body(StreamReader::new(Box::pin(partial.into_stream())));
    response.finalize()
}

fn error_response<'r>(
    error: &ErrorAnswer,
    request_id: &str,
) -> Response<'r> {
    let code = error.code.number();
    metrics::counter!(
        REQUESTS,
        "code" => code.to_string(),
        "ran" => error.ran.to_string()
    )
    .increment(1);
    log::info!(
        code = code,
        ran = error.ran.to_string().as_str(),
        request_id = request_id;
        "request refused: {}", error.code.meaning()
    );
    let mut response = json_response(error.status(), error.to_json(request_id));
    response.set_raw_header("x-request-id", request_id.to_owned());
    if let Some(wait) = error.retry_after {
        let seconds = wait.as_secs_f64().ceil() as u64;
        response.set_raw_header("retry-after", seconds.to_string());
    }
    response
}

fn models_response<'r>(config: &FleetConfig) -> Response<'r> {
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
    json_response(200, json!({"object": "list", "data": data}).to_string())
}

fn readiness_response<'r>(router: &Router) -> Response<'r> {
    let ready = router.node.is_ready();
    json_response(
        if ready { 200 } else { 503 },
        json!({"ready": ready}).to_string(),
    )
}

fn json_response<'r>(
    status: u16,
    body: String,
) -> Response<'r> {
    Response::build()
        .status(Status::new(status))
        .raw_header("content-type", "application/json")
        .sized_body(body.len(), Cursor::new(body))
        .finalize()
}
