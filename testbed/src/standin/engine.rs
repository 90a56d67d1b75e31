use {
    super::{
        BoundServer, ChatBody, EngineFault, EngineSettings, RunLog, bind_server,
        prefix_cache::PrefixCache,
    },
    bytes::Bytes,
    futures::{Stream, stream},
    rocket::{
        Data, Request, Response, Route, async_trait,
        data::ByteUnit,
        http::{Method, Status},
        route::{Handler, Outcome},
    },
    serde_json::json,
    std::{
        io::{self, Cursor},
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
    tokio_util::io::StreamReader,
};

/// The largest request body that the stand-in accepts.
const MAX_BODY: ByteUnit = ByteUnit::Mebibyte(64);

/// A model engine: runs a batch of requests, generates tokens at a fixed pace,
/// caches prompt prefixes and cancels a request whose caller has disconnected. Each
/// token contains the request's nonce, so that mixed-up answers are detected.
pub struct Engine {
    pub address: SocketAddr,
    pub log: Arc<RunLog>,
    shared: Arc<Shared>,
    _server: BoundServer,
}

struct Shared {
    settings: EngineSettings,
    fault: Mutex<EngineFault>,
    slots: Arc<Semaphore>,
    cache: Mutex<PrefixCache>,
    log: Arc<RunLog>,
}

impl Engine {
    /// Starts an engine on a port that the system chooses.
    pub async fn start(
        ip: IpAddr,
        settings: EngineSettings,
    ) -> Self {
        let log = Arc::new(RunLog::default());
        let shared = Arc::new(Shared {
            settings,
            fault: Mutex::default(),
            slots: Arc::new(Semaphore::new(settings.slots)),
            cache: Mutex::default(),
            log: log.clone(),
        });
        let chat = Chat(shared.clone());
        let route = Route::new(Method::Post, "/v1/chat/completions", chat);
        let server = bind_server(ip, |config| rocket::custom(config).mount("/", vec![route])).await;
        Self {
            address: server.address,
            log,
            shared,
            _server: server,
        }
    }

    /// Applies `fault` to every request that starts to run after this call.
    pub fn set_fault(
        &self,
        fault: EngineFault,
    ) {
        *self.shared.fault.lock().expect("fault lock") = fault;
    }

    /// Prefix cache hits and misses since the start.
    pub fn cache_counts(&self) -> (u64, u64) {
        let cache = self.shared.cache.lock().expect("cache lock");
        (cache.hits, cache.misses)
    }
}

#[derive(Clone)]
struct Chat(Arc<Shared>);

#[async_trait]
impl Handler for Chat {
    async fn handle<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
    ) -> Outcome<'r> {
        let request_id = request.headers().get_one("x-request-id").unwrap_or("");
        let account = request.headers().get_one("x-account").unwrap_or("");
        let Ok(body) = data.open(MAX_BODY).into_bytes().await else {
            return Outcome::Error(Status::BadRequest);
        };
        let Ok(body) = serde_json::from_slice::<ChatBody>(&body) else {
            return Outcome::Error(Status::BadRequest);
        };
        let run = GeneratingRun::start(&self.0, body, request_id, account).await;
        Outcome::Success(run.respond().await)
    }
}

/// A request that occupies a slot of the batch. Dropping it frees the slot.
struct GeneratingRun {
    shared: Arc<Shared>,
    body: ChatBody,
    fault: EngineFault,
    request_id: String,
    number: usize, // index in the run log
    sent: u32,     // tokens
    finished: bool,
    _slot: OwnedSemaphorePermit,
}

impl Drop for GeneratingRun {
    fn drop(&mut self) {
        self.shared.log.record_slot(false);
        let (finished, sent) = (self.finished, self.sent);
        self.shared.log.update(self.number, |run| {
            run.tokens = sent;
            run.is_complete = finished;
            run.is_cancelled = !finished;
        });
    }
}

impl GeneratingRun {
    async fn start(
        shared: &Arc<Shared>,
        body: ChatBody,
        request_id: &str,
        account: &str,
    ) -> Self {
        let number = shared.log.start(request_id, body.nonce(), account);
        let slot = shared.slots.clone().acquire_owned().await;
        shared.log.record_slot(true);
        let fault = *shared.fault.lock().expect("fault lock");
        Self {
            shared: shared.clone(),
            body,
            fault,
            request_id: request_id.to_owned(),
            number,
            sent: 0,
            finished: false,
            _slot: slot.expect("the batch is never closed"),
        }
    }

    async fn respond<'r>(self) -> Response<'r> {
        match self.fault {
            EngineFault::DelayedAnswer(wait) => tokio::time::sleep(wait).await,
            EngineFault::NoAnswer => std::future::pending().await,
            _ => {}
        }
        self.prefill().await;
        let mut response = Response::build();
        response.status(Status::Ok);
        response.raw_header("x-request-id", self.answered_request_id());
        if self.body.stream {
            response.raw_header("content-type", "text/event-stream");
            let reader = StreamReader::new(Box::pin(self.into_stream()));
            response.max_chunk_size(1).streamed_body(reader);
        } else {
            response.raw_header("content-type", "application/json");
            let body = self.into_body().await;
            response.sized_body(body.len(), Cursor::new(body));
        }
        response.finalize()
    }

    async fn prefill(&self) {
        let bound = self.shared.settings.cached_prefixes;
        let cached = {
            let mut cache = self.shared.cache.lock().expect("cache lock");
            cache.touch(self.body.prefix(), bound)
        };
        if !cached {
            tokio::time::sleep(self.shared.settings.prefill_time).await;
        }
    }

    fn answered_request_id(&self) -> String {
        match self.fault {
            EngineFault::WrongRequestId => format!("crossed-{}", self.request_id),
            _ => self.request_id.clone(),
        }
    }

    async fn into_body(mut self) -> String {
        let mut text = String::new();
        while self.sent < self.body.max_tokens {
            text.push_str(&self.next_token().await);
        }
        self.finished = true;
        json!({
            "id": self.request_id,
            "object": "chat.completion",
            "model": self.body.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }],
            "usage": self.usage(),
        })
        .to_string()
    }

    fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send {
        stream::unfold(Some(self), |run| async move {
            let mut run = run?;
            if run.fault == EngineFault::CutAfterTokens(run.sent) {
                return Some((Err(io::ErrorKind::ConnectionAborted.into()), None));
            }
            if run.sent < run.body.max_tokens {
                let event = run.token_event().await;
                return Some((Ok(event), Some(run)));
            }
            run.finished = true;
            let last = json!({
                "id": run.request_id,
                "object": "chat.completion.chunk",
                "choices": [],
                "usage": run.usage(),
            });
            let text = format!("data: {last}\n\ndata: [DONE]\n\n");
            Some((Ok(text.into()), None))
        })
    }

    async fn token_event(&mut self) -> Bytes {
        let token = self.next_token().await;
        let event = json!({
            "id": self.request_id,
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {"content": token}}],
        });
        format!("data: {event}\n\n").into()
    }

    async fn next_token(&mut self) -> String {
        tokio::time::sleep(self.shared.settings.token_time).await;
        self.sent += 1;
        let sent = self.sent;
        self.shared.log.update(self.number, |run| run.tokens = sent);
        format!("{}#{} ", self.body.nonce(), sent)
    }

    fn usage(&self) -> serde_json::Value {
        json!({
            "prompt_tokens": self.body.prompt_tokens(),
            "completion_tokens": self.sent,
            "total_tokens": self.body.prompt_tokens() + self.sent,
        })
    }
}
