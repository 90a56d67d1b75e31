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

/// The process that an operator port serves.
pub trait StatusSource: Send + Sync + 'static {
    /// The current status.
    fn status(&self) -> ProcessStatus;
    /// Whether the process takes new work.
    fn is_ready(&self) -> bool;
    /// The audit trail.
    fn audit(&self) -> &AuditTrail;
}

/// The HTTP port for operators. It is read-only.
pub struct OperatorPort;

type Source = Arc<dyn StatusSource>;

impl OperatorPort {
    /// Installs the metrics recorder and serves until the process ends.
    pub async fn serve(
        listen: SocketAddr,
        source: Source,
    ) -> Result<(), rocket::Error> {
        let recorder = PrometheusBuilder::new()
            .set_buckets(BUCKETS_SECONDS)
            .expect("the list of buckets is not empty")
            .build_recorder();
        let handle = recorder.handle();
        tokio::spawn(run_upkeep(handle.clone()));
        if metrics::set_global_recorder(recorder).is_err() {
            log::debug!("a metrics recorder is already installed");
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

/// Upper bounds of histogram buckets.
const BUCKETS_SECONDS: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0, 10.0,
];

/// Interval at which histogram samples are put into their buckets.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Puts histogram samples into their buckets, so that memory stays bounded if nothing reads the
/// metrics.
async fn run_upkeep(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
    }
}

/// Rocket's settings for one worker thread, with its logs and its signal handling off.
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
