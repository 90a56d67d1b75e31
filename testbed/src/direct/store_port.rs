use {
    super::{Store, StoreMode},
    crate::{
        proxy::TcpProxy,
        standin::{BoundServer, bind_server},
    },
    rocket::{
        Build, Request, Rocket, State, get,
        http::Status,
        response::{self, Responder, status::Custom},
        routes,
    },
    serde_json::json,
    std::{
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::timeout,
};

/// One address of the stand-in store, whose faults are independent of its other ports.
pub struct StorePort {
    pub address: SocketAddr, // address of `proxy`
    pub proxy: TcpProxy,
    mode: Arc<Mutex<StoreMode>>,
    _server: BoundServer,
}

type Mode = Arc<Mutex<StoreMode>>;

/// An answer with the store's era, unless the store hides it.
struct Answer {
    inner: Custom<String>,
    era: Option<u64>,
}

impl Answer {
    fn new(
        store: &Store,
        status: Status,
        body: String,
    ) -> Self {
        Self {
            inner: Custom(status, body),
            era: store.told_era(),
        }
    }
}

impl<'r> Responder<'r, 'static> for Answer {
    fn respond_to(
        self,
        request: &'r Request<'_>,
    ) -> response::Result<'static> {
        let mut response = self.inner.respond_to(request)?;
        if let Some(era) = self.era {
            response.set_raw_header("Store-Era", era.to_string());
        }
        Ok(response)
    }
}

impl StorePort {
    /// Serves the store on a free port.
    pub async fn start(
        ip: IpAddr,
        store: Store,
    ) -> Self {
        let mode = Arc::new(Mutex::new(StoreMode::Well));
        let managed_mode = mode.clone();
        let build = move |config| -> Rocket<Build> {
            rocket::custom(config)
                .manage(store)
                .manage(managed_mode)
                .mount("/v1", routes![key, range, watch])
        };
        let server = bind_server(ip, build).await;
        let proxy = TcpProxy::start(ip, server.address)
            .await
            .expect("a free port");
        Self {
            address: proxy.address,
            proxy,
            mode,
            _server: server,
        }
    }

    /// Sets how requests are answered from now on, including watches that are waiting.
    pub fn set_mode(
        &self,
        mode: StoreMode,
    ) {
        *self.mode.lock().expect("mode lock") = mode;
    }
}

/// The answer that replaces the usual one in this mode. Never returns in
/// [`StoreMode::Silent`].
async fn injected_answer(
    store: &Store,
    mode: &Mode,
) -> Option<Answer> {
    let refusal = |status| Some(Answer::new(store, status, String::new()));
    let current = *mode.lock().expect("mode lock");
    match current {
        StoreMode::Well => None,
        StoreMode::Busy => refusal(Status::ServiceUnavailable),
        StoreMode::Many => refusal(Status::TooManyRequests),
        StoreMode::Silent => std::future::pending().await,
    }
}

#[get("/kv-key?<private_key>")]
async fn key(
    private_key: &str,
    store: &State<Store>,
    mode: &State<Mode>,
) -> Answer {
    if let Some(refusal) = injected_answer(store, mode).await {
        return refusal;
    }
    match store.key(private_key) {
        Some(item) => Answer::new(store, Status::Ok, item.to_string()),
        None => Answer::new(store, Status::NotFound, String::new()),
    }
}

#[get("/kv-range?<path_prefix>&<after_revision>")]
async fn range(
    path_prefix: &str,
    after_revision: Option<&str>,
    store: &State<Store>,
    mode: &State<Mode>,
) -> Answer {
    if let Some(refusal) = injected_answer(store, mode).await {
        return refusal;
    }
    let page = store.range(path_prefix, after_revision.unwrap_or(""));
    Answer::new(store, Status::Ok, page.to_string())
}

#[get("/kv-watch?<path_prefix>&<after_revision>&<wait_ms>")]
async fn watch(
    path_prefix: &str,
    after_revision: u64,
    wait_ms: u64,
    store: &State<Store>,
    mode: &State<Mode>,
) -> Answer {
    if let Some(refusal) = injected_answer(store, mode).await {
        return refusal;
    }
    let mut changes = store.subscribe();
    let new_events = async {
        loop {
            match store.events(path_prefix, after_revision) {
                Some(events) if events.is_empty() => {}
                found => return found,
            }
            if changes.changed().await.is_err() {
                return None;
            }
        }
    };
    let found = timeout(Duration::from_millis(wait_ms), new_events).await;
    if let Some(refusal) = injected_answer(store, mode).await {
        return refusal;
    }
    match found {
        Ok(None) => Answer::new(store, Status::Gone, String::new()),
        Ok(Some(events)) => {
            let at = events.last().and_then(|event| event["revision"].as_u64());
            let answer = json!({"events": events, "at": at});
            Answer::new(store, Status::Ok, answer.to_string())
        }
        Err(_) => {
            let at = store.revision().max(after_revision);
            Answer::new(
                store,
                Status::Ok,
                json!({"events": [], "at": at}).to_string(),
            )
        }
    }
}
