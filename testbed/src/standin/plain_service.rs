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

/// The largest body the stand-in reads.
const MAX_BODY: ByteUnit = ByteUnit::Mebibyte(64);

/// A plain service that counts how often each marked request ran. It answers
/// with the mark and the body it got.
pub struct PlainService {
    pub address: SocketAddr,
    pub log: Arc<RunLog>,
    service_time: Arc<Mutex<Duration>>,
    manner: Arc<Mutex<AnswerManner>>,
    _server: BoundServer,
}

#[derive(Clone)]
struct Call {
    slots: Arc<Semaphore>,
    service_time: Arc<Mutex<Duration>>,
    manner: Arc<Mutex<AnswerManner>>,
    log: Arc<RunLog>,
}

/// How calls are answered.
#[derive(Debug, Clone, Default)]
struct AnswerManner {
    turns_away: bool,               // with 503, without running them
    headers: Vec<(String, String)>, // in all answers
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
        let manner: Arc<Mutex<AnswerManner>> = Arc::default();
        let call = Call {
            slots: Arc::new(Semaphore::new(slots)),
            service_time: service_time.clone(),
            manner: manner.clone(),
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
            manner,
            _server: server,
        }
    }

    /// From now on all its answers have these headers too.
    pub fn says(
        &self,
        headers: &[(&str, &str)],
    ) {
        let headers = headers
            .iter()
            .map(|(name, value)| (name.to_string(), value.to_string()));
        self.manner.lock().expect("manner lock").headers = headers.collect();
    }

    /// Whether it turns calls away from now on.
    pub fn turns_away(
        &self,
        turns_away: bool,
    ) {
        self.manner.lock().expect("manner lock").turns_away = turns_away;
    }

    /// Changes how long a call takes.
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
        let manner = self.manner.lock().expect("manner lock").clone();
        let mut response = Response::build();
        for (name, value) in manner.headers {
            response.raw_header(name, value);
        }
        if manner.turns_away {
            return Outcome::Success(response.status(Status::ServiceUnavailable).finalize());
        }
        let body = data.open(MAX_BODY).into_bytes().await;
        let body = body.map_or_else(|_| Vec::new(), |body| body.into_inner());
        let slot = self.slots.acquire().await;
        self.log.slot(true);
        let time = *self.service_time.lock().expect("time lock");
        tokio::time::sleep(time).await;
        self.log.slot(false);
        drop(slot);
        self.log.update(number, |run| run.ended = true);
        let answer = format!("{nonce}:{}", String::from_utf8_lossy(&body));
        Outcome::Success(
            response
                .raw_header("x-request-id", request_id)
                .sized_body(answer.len(), Cursor::new(answer))
                .finalize(),
        )
    }
}
