use {
    crate::{
        codes::{Fault, ResultCode},
        routing::{
            AccountEntry, AllowedRegions, EngineSpec, RequestLimits, Route, RouteKind,
            RoutingTable, Service, WeightedService,
        },
    },
    serde::Deserialize,
    std::time::Duration,
};

/// The operator's configuration in the JSON form of the platform's store.
#[derive(Deserialize)]
struct ConfigJson {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteJson>,
    #[serde(default)]
    services: Vec<ServiceJson>,
    #[serde(default)]
    limits: LimitsJson,
    #[serde(default)]
    tenants: Vec<TenantJson>,
}

#[derive(Deserialize)]
struct RouteJson {
    #[serde(default)]
    name: String,
    host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: Option<f64>,
    target_latency_ms: Option<f64>,
    itl_target_ms: Option<f64>,
    #[serde(default)]
    priority: u32,
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<SplitJson>,
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    allowed_regions: Vec<String>,
}

#[derive(Deserialize)]
struct SplitJson {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
struct ServiceJson {
    name: String,
    max_connections: Option<usize>,
    health_path: Option<String>,
    #[serde(default)]
    cold_start_s: f64,
    #[serde(default)]
    cold_per_s: f64,
    engine: Option<EngineJson>,
}

#[derive(Deserialize)]
struct EngineJson {
    kv_capacity_tokens: Option<f64>,
    #[serde(default)]
    kv_bytes: f64,
    #[serde(default)]
    link_mbps: f64,
    #[serde(default)]
    moves: bool,
}

#[derive(Deserialize, Default)]
struct LimitsJson {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
    tokens_per_s: Option<f64>,
}

#[derive(Deserialize)]
struct TenantJson {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    #[serde(default)]
    allowed_regions: Vec<String>,
}

/// Defaults for settings that a configuration omits.
const DEFAULT_TIMEOUT_MS: f64 = 30_000.0;
const DEFAULT_TARGET_LATENCY_MS: f64 = 1_000.0;
const DEFAULT_MAX_CONNECTIONS: usize = 64;

/// Parses the operator's configuration. Fails with `PlatformReply`.
pub fn parse_config(text: &str) -> Result<RoutingTable, Fault> {
    let config: ConfigJson =
        serde_json::from_str(text).map_err(|error| Fault::new(ResultCode::PlatformReply, error))?;
    let routes = config
        .routes
        .into_iter()
        .map(route)
        .collect::<Result<_, _>>()?;
    let services = config
        .services
        .into_iter()
        .map(service)
        .collect::<Result<_, _>>()?;
    let accounts = config.tenants.into_iter().map(account).collect();
    Ok(RoutingTable::new(
        config.version,
        limits(&config.limits)?,
        routes,
        services,
        accounts,
    ))
}

fn route(route: RouteJson) -> Result<Route, Fault> {
    let kind = match route.kind.as_str() {
        "idempotent" => RouteKind::Idempotent,
        "non_idempotent" => RouteKind::NonIdempotent,
        "streaming" => RouteKind::Stream {
            resumable: route.resumable,
        },
        other => {
            let detail = format!("route {}: unknown kind {other:?}", route.name);
            return Err(Fault::new(ResultCode::PlatformReply, detail));
        }
    };
    let split = route.traffic_split.into_iter().map(|part| WeightedService {
        service: part.service.into(),
        weight: part.weight,
    });
    let mut services: Vec<WeightedService> = split.collect();
    if let (true, Some(service)) = (services.is_empty(), route.service) {
        services.push(WeightedService {
            service: service.into(),
            weight: 1.0,
        });
    }
    Ok(Route {
        name: route.name,
        host: route.host.to_ascii_lowercase(),
        path_prefix: route.path_prefix,
        kind,
        timeout: millis(route.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS))?,
        target_latency: millis(route.target_latency_ms.unwrap_or(DEFAULT_TARGET_LATENCY_MS))?,
        target_pause: route.itl_target_ms.map(millis).transpose()?,
        priority: route.priority,
        services,
        max_attempts: route.max_attempts.unwrap_or(1).max(1),
        public: route.public,
        regions: regions(route.allowed_regions),
    })
}

fn service(service: ServiceJson) -> Result<Service, Fault> {
    let engine = service.engine.and_then(|engine| {
        engine.kv_capacity_tokens.map(|tokens| EngineSpec {
            kv_capacity_tokens: tokens as u64,
            kv_bytes_per_token: engine.kv_bytes,
            link_mbps: engine.link_mbps,
            can_transfer_kv: engine.moves,
        })
    });
    Ok(Service {
        name: service.name.into(),
        max_connections: service.max_connections.unwrap_or(DEFAULT_MAX_CONNECTIONS),
        engine,
        health_path: service.health_path,
        slow_start_per_s: service.cold_per_s,
        slow_start_duration: millis(service.cold_start_s * 1000.0)?,
    })
}

fn account(tenant: TenantJson) -> AccountEntry {
    AccountEntry {
        name: tenant.name.into(),
        keys: tenant.api_keys,
        regions: regions(tenant.allowed_regions),
    }
}

/// None, which stands for no restriction, if no region is named.
fn regions(names: Vec<String>) -> Option<AllowedRegions> {
    (!names.is_empty()).then(|| names.into_iter().collect())
}

fn limits(limits: &LimitsJson) -> Result<RequestLimits, Fault> {
    let default = RequestLimits::default();
    let time = |configured: Option<f64>, default| configured.map_or(Ok(default), millis);
    Ok(RequestLimits {
        max_header_bytes: limits.max_header_bytes.unwrap_or(default.max_header_bytes),
        max_body_bytes: limits.max_body_bytes.unwrap_or(default.max_body_bytes),
        header_timeout: time(limits.header_timeout_ms, default.header_timeout)?,
        idle_timeout: time(limits.idle_timeout_ms, default.idle_timeout)?,
        engine_tokens_per_s: limits.tokens_per_s,
    })
}

/// The longest time that a configuration may set.
const MAX_TIME: Duration = Duration::from_secs(24 * 3600);

/// Converts milliseconds. Fails with `PlatformReply` outside the range from zero to [`MAX_TIME`].
fn millis(ms: f64) -> Result<Duration, Fault> {
    let time = Duration::try_from_secs_f64(ms / 1000.0).ok();
    time.filter(|time| *time <= MAX_TIME).ok_or_else(|| {
        let detail = format!("{ms} ms is outside 0 to {} s", MAX_TIME.as_secs());
        Fault::new(ResultCode::PlatformReply, detail)
    })
}
