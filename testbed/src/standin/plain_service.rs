use {
    super::{BoundServer, RunLog, bind_server},
    rocket::{
        Data, Request, Response, Route, async_trait,
        data::ByteUnit,
        http::{Method, Status},
        route::{Handler, Outcome},
    },
    std::{
        io::Cursor,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::Semaphore,
};

/// The largest request body that the stand-in reads.
const MAX_BODY: ByteUnit = ByteUnit::Mebibyte(64);

/// A plain HTTP service that logs every request by the nonce in its `x-nonce`
/// header. It answers with the nonce and the request's body.
pub struct PlainService {
    pub address: SocketAddr,
    pub log: Arc<RunLog>,
    service_time: Arc<Mutex<Duration>>,
    answer_mode: Arc<Mutex<AnswerMode>>,
    _server: BoundServer,
}

#[derive(Clone)]
struct Call {
    slots: Arc<Semaphore>,
    service_time: Arc<Mutex<Duration>>,
    answer_mode: Arc<Mutex<AnswerMode>>,
    log: Arc<RunLog>,
}

/// How all calls are answered.
#[derive(Debug, Clone, Default)]
struct AnswerMode {
    is_refusing: bool,              // with 503, without running the call
    headers: Vec<(String, String)>, // added to every answer
}

impl PlainService {
    /// Starts a service on a port that the system chooses.
    pub async fn start(
        ip: IpAddr,
        slots: usize,
        service_time: Duration,
    ) -> Self {
        let log = Arc::new(RunLog::default());
        let service_time = Arc::new(Mutex::new(service_time));
        let answer_mode: Arc<Mutex<AnswerMode>> = Arc::default();
        let call = Call {
            slots: Arc::new(Semaphore::new(slots)),
            service_time: service_time.clone(),
            answer_mode: answer_mode.clone(),
            log: log.clone(),
        };
        let methods = [Method::Get, Method::Post, Method::Put, Method::Delete];
        let routes: Vec<Route> = methods
            .iter()
            .map(|method| Route::new(*method, "/<path..>", call.clone()))
            .collect();
        let server = bind_server(ip, |config| rocket::custom(config).mount("/", routes)).await;
        Self {
            address: server.address,
            log,
            service_time,
            answer_mode,
            _server: server,
        }
    }

    /// Adds these headers to all further answers, in place of those set before.
    pub fn set_headers(
        &self,
        headers: &[(&str, &str)],
    ) {
        let headers = headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()));
        self.answer_mode.lock().expect("answer mode lock").headers = headers.collect();
    }

    /// Sets whether further calls are refused with status 503.
    pub fn set_refusing(
        &self,
        is_refusing: bool,
    ) {
        self.answer_mode
            .lock()
            .expect("answer mode lock")
            .is_refusing = is_refusing;
    }

    /// Sets how long each further call takes to run.
    pub fn set_service_time(
        &self,
        time: Duration,
    ) {
        *self.service_time.lock().expect("time lock") = time;
    }
}

#[async_trait]
impl Handler for Call {
    async fn handle<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
    ) -> Outcome<'r> {
        let header = |name: &str| request.headers().get_one(name).unwrap_or("").to_owned();
        let (request_id, nonce) = (header("x-request-id"), header("x-nonce"));
        let number = self.log.start(&request_id, &nonce, &header("x-account"));
        let answer_mode = self.answer_mode.lock().expect("answer mode lock").clone();
        let mut response = Response::build();
        for (name, value) in answer_mode.headers {
            response.raw_header(name, value);
        }
        if answer_mode.is_refusing {
            return Outcome::Success(response.status(Status::ServiceUnavailable).finalize());
        }
        let body = data.open(MAX_BODY).into_bytes().await;
        let body = body.map_or_else(|_| Vec::new(), |body| body.into_inner());
        let slot = self.slots.acquire().await;
        self.log.record_slot(true);
        let time = *self.service_time.lock().expect("time lock");
        tokio::time::sleep(time).await;
        self.log.record_slot(false);
        drop(slot);
        self.log.update(number, |run| run.is_complete = true);
        let answer = format!("{nonce}:{}", String::from_utf8_lossy(&body));
        Outcome::Success(
            response
                .raw_header("x-request-id", request_id)
                .sized_body(answer.len(), Cursor::new(answer))
                .finalize(),
        )
    }
}
