use {
    super::{AuditEntry, AuditTrail, ProcessStatus},
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    rocket::{
        State,
        config::{Config, Ident, LogLevel, Shutdown},
        get,
        http::Status,
        routes,
        serde::json::Json,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// What the operator port asks of its process.
pub trait StatusSource: Send + Sync + 'static {
    /// The process as it is now.
    fn status(&self) -> ProcessStatus;
    /// Whether it takes new work.
    fn is_ready(&self) -> bool;
    /// Its audit trail.
    fn audit(&self) -> &AuditTrail;
}

/// The HTTP port for operators. It only reads.
pub struct OperatorPort;

type Source = Arc<dyn StatusSource>;

impl OperatorPort {
    /// Installs the metrics recorder and serves until the process ends.
    pub async fn serve(
        listen: SocketAddr,
        source: Source,
    ) -> Result<(), rocket::Error> {
        let recorder = PrometheusBuilder::new()
            .set_buckets(BUCKETS)
            .expect("there are buckets")
            .build_recorder();
        let handle = recorder.handle();
        tokio::spawn(keep_up(handle.clone()));
        if metrics::set_global_recorder(recorder).is_err() {
            log::debug!("metrics were started before");
        }
        rocket::custom(quiet_config(listen))
            .manage(source)
            .manage(handle)
            .mount("/", routes![health, ready, status, audit, metrics_page])
            .launch()
            .await
            .map(|_| ())
    }
}

/// Bounds of the buckets of histograms, in seconds.
const BUCKETS: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0, 10.0,
];

/// How often samples of histograms are put into their buckets.
const KEEP_UP_EVERY: Duration = Duration::from_secs(5);

/// Keeps samples from piling up where nobody reads the metrics.
async fn keep_up(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(KEEP_UP_EVERY).await;
        handle.run_upkeep();
    }
}

/// Rocket's settings, with its own signal handling off.
pub fn quiet_config(listen: SocketAddr) -> Config {
    Config {
        address: listen.ip(),
        port: listen.port(),
        workers: 1,
        ident: Ident::none(),
        ip_header: None,
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: Shutdown {
            ctrlc: false,
            signals: Default::default(),
            grace: u32::MAX,
            mercy: u32::MAX,
            force: false,
            ..Shutdown::default()
        },
        ..Config::release_default()
    }
}

#[get("/health")]
fn health() -> &'static str {
    "ok\n"
}

#[get("/ready")]
fn ready(source: &State<Source>) -> (Status, &'static str) {
    if source.is_ready() {
        (Status::Ok, "ready\n")
    } else {
        (Status::ServiceUnavailable, "not ready\n")
    }
}

#[get("/status")]
fn status(source: &State<Source>) -> Json<ProcessStatus> {
    Json(source.status())
}

#[get("/audit")]
fn audit(source: &State<Source>) -> Json<Vec<AuditEntry>> {
    Json(source.audit().entries())
}

#[get("/metrics")]
fn metrics_page(handle: &State<PrometheusHandle>) -> String {
    handle.render()
}
