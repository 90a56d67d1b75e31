use {
    super::{
        BoundServer, PlatformFaults, bind_server, call_count::CallCount,
        publish_error::PublishError, values::Values,
    },
    archmast::{
        directory::{FLEET_KEY, HOSTS_KEY, REVISION_HEADER},
        fleet::{HostList, Manifest, ManifestPart, sha256_hex},
    },
    rocket::{
        FromForm, Responder, State, get,
        http::{Header, Status},
        routes,
    },
    std::{
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::watch,
};

/// The largest value that may be published, in bytes.
pub const MAX_VALUE: usize = 1_000_000;

/// The platform's configuration service: values with revisions that clients watch by
/// long polling over HTTP. Tests publish values as an operator would, by methods.
pub struct Platform {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _server: BoundServer,
}

struct Shared {
    values: Mutex<Values>,
    changed: watch::Sender<u64>,
    faults: watch::Sender<PlatformFaults>,
    calls: Mutex<CallCount>,
}

impl Platform {
    /// Starts the service on a port that the system chooses.
    pub async fn start(ip: IpAddr) -> Self {
        let shared = Arc::new(Shared {
            values: Mutex::default(),
            changed: watch::Sender::new(0),
            faults: watch::Sender::new(PlatformFaults::default()),
            calls: Mutex::default(),
        });
        let managed = shared.clone();
        let server = bind_server(ip, |config| {
            rocket::custom(config)
                .manage(managed)
                .mount("/v1", routes![watch_value, part])
        })
        .await;
        Self {
            address: server.address,
            shared,
            _server: server,
        }
    }

    /// Publishes a value and returns its revision. With `expect`, fails unless the key
    /// is at that revision (0: not published yet).
    pub fn publish(
        &self,
        key: &str,
        text: &str,
        expect: Option<u64>,
    ) -> Result<u64, PublishError> {
        if text.len() > MAX_VALUE {
            return Err(PublishError::TooLarge);
        }
        let revision = {
            let mut values = self.shared.values.lock().expect("value lock");
            let newest = values.newest(key).map_or(0, |(revision, _)| revision);
            if expect.is_some_and(|expected| expected != newest) {
                return Err(PublishError::Raced);
            }
            values.last_revision += 1;
            let revision = values.last_revision;
            let history = values.history.entry(key.to_owned()).or_default();
            history.push((revision, text.to_owned()));
            revision
        };
        self.shared.changed.send_replace(revision);
        Ok(revision)
    }

    /// Publishes a fleet configuration of one part and returns its revision.
    pub fn publish_fleet(
        &self,
        text: &str,
    ) -> u64 {
        self.publish(FLEET_KEY, text, None)
            .expect("the configuration fits one value")
    }

    /// Publishes a fleet configuration in parts (name and text), with the manifest that
    /// lists their digests.
    pub fn publish_parts(
        &self,
        parts: &[(String, String)],
    ) -> Result<u64, PublishError> {
        let mut manifest = Manifest { parts: Vec::new() };
        {
            let mut values = self.shared.values.lock().expect("value lock");
            for (name, text) in parts {
                if text.len() > MAX_VALUE {
                    return Err(PublishError::TooLarge);
                }
                let digest = sha256_hex(text.as_bytes());
                values.parts.insert(digest.clone(), text.clone());
                manifest.parts.push(ManifestPart {
                    name: name.clone(),
                    digest,
                });
            }
        }
        self.publish(FLEET_KEY, &manifest.to_text(), None)
    }

    /// Publishes a host list and returns its revision.
    pub fn publish_hosts(
        &self,
        hosts: &HostList,
    ) -> u64 {
        let text = serde_json::to_string(hosts).expect("a host list is JSON");
        self.publish(HOSTS_KEY, &text, None)
            .expect("the host list fits one value")
    }

    /// Replaces the faults that are injected into all further answers.
    pub fn set_faults(
        &self,
        faults: PlatformFaults,
    ) {
        self.shared.faults.send_replace(faults);
    }

    /// The revision published last.
    pub fn last_revision(&self) -> u64 {
        self.shared.values.lock().expect("value lock").last_revision
    }

    /// Number of calls since the start, and how many of them exceeded the rate limit.
    pub fn calls(&self) -> (u64, u64) {
        let calls = self.shared.calls.lock().expect("call lock");
        (calls.total, calls.refused)
    }
}

impl Shared {
    fn newer_value(
        &self,
        key: &str,
        after: u64,
    ) -> Option<(u64, String)> {
        let bound = self.faults.borrow().stale_at.unwrap_or(u64::MAX);
        let values = self.values.lock().expect("value lock");
        let (revision, text) = values.newest_up_to(key, bound)?;
        // A stale service returns its old value also to a client that has a newer one.
        let is_served = revision > after || (bound < after);
        is_served.then(|| (revision, text.to_owned()))
    }

    async fn wait_for_newer_value(
        &self,
        key: &str,
        after: u64,
    ) -> (u64, String) {
        let mut changed = self.changed.subscribe();
        let mut faults = self.faults.subscribe();
        loop {
            if let Some(found) = self.newer_value(key, after) {
                return found;
            }
            tokio::select! {
                _ = changed.changed() => {}
                _ = faults.changed() => {}
            }
        }
    }

    async fn wait_until_down(&self) {
        let mut faults = self.faults.subscribe();
        if faults.wait_for(|s| s.down).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

#[derive(Responder)]
struct Value {
    text: String,
    revision: Header<'static>,
}

/// The answer to a watch.
#[derive(Responder)]
enum Watched {
    Value(Value),
    #[response(status = 304)]
    Unchanged(()),
}

#[derive(FromForm)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

#[get("/watch/<key>?<query..>")]
async fn watch_value(
    key: &str,
    query: WatchQuery,
    shared: &State<Arc<Shared>>,
) -> Result<Watched, Status> {
    admit(shared).await?;
    let wait = Duration::from_millis(query.wait_ms);
    tokio::select! {
        (revision, text) = shared.wait_for_newer_value(key, query.after) => Ok(Watched::Value(Value {
            text,
            revision: Header::new(REVISION_HEADER, revision.to_string()),
        })),
        () = shared.wait_until_down() => Err(Status::ServiceUnavailable),
        () = tokio::time::sleep(wait) => Ok(Watched::Unchanged(())),
    }
}

#[get("/parts/<digest>")]
async fn part(
    digest: &str,
    shared: &State<Arc<Shared>>,
) -> Result<String, Status> {
    admit(shared).await?;
    let values = shared.values.lock().expect("value lock");
    values.parts.get(digest).cloned().ok_or(Status::NotFound)
}

/// Applies the faults to a call: refuses it or delays it.
async fn admit(shared: &Shared) -> Result<(), Status> {
    let faults = *shared.faults.borrow();
    let allowed = {
        let mut calls = shared.calls.lock().expect("call lock");
        calls.allow(faults.calls_per_second)
    };
    if !allowed {
        return Err(Status::TooManyRequests);
    }
    if faults.down {
        return Err(Status::ServiceUnavailable);
    }
    tokio::time::sleep(faults.slow).await;
    Ok(())
}
