use {
    super::{ConfError, IniDocument, OperatorSettings, ProcessSettings, SettingsFile},
    crate::{
        catalog::WatchPacing,
        codes::ResultCode,
        policy::{
            memory::MemoryBudget, placement::PlacementSettings, slow_start::SlowStartBounds,
            suspects::SuspectDigest,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Settings of a router of the direct form, which sends requests to the replicas itself.
#[derive(Debug, Clone)]
pub struct DirectSettings {
    /// Path of the settings file; empty if there is none.
    pub path: String,
    pub process: ProcessSettings,
    pub operator: OperatorSettings,
    /// HTTP address for callers.
    pub caller_listen: SocketAddr,
    /// Open connections of callers beyond which idle ones are closed.
    pub max_connections: usize,
    /// The region of each availability zone, by zone.
    pub regions: BTreeMap<String, String>,
    /// Memory for answers that callers are slow to read.
    pub answer_memory: MemoryBudget,
    /// Memory for bodies of requests.
    pub request_memory: MemoryBudget,
    /// Memory in bytes for all that callers decide on: answers, bodies, and their connections.
    pub caller_memory: u64,
    /// Busy fraction of the CPU, 0 to 1, above which the router reports itself as not ready.
    pub max_busy_share: f64,
    /// Busy fraction of the CPU, 0 to 1, above which new connections of callers are forwarded to
    /// routers of the same zone; 1 disables this.
    pub forward_busy_share: f64,
    /// HTTP address for the balancer's readiness checks.
    pub ready_listen: SocketAddr,
    /// Path of the balancer's readiness checks.
    pub ready_path: String,
    /// UDP address for reports of peers.
    pub peer_listen: SocketAddr,
    /// QUIC address for peers that fetch the catalog.
    pub update_listen: SocketAddr,
    /// UDP addresses of some peers.
    pub seeds: Vec<SocketAddr>,
    /// Interval between two reports to peers.
    pub peer_interval: Duration,
    /// Age from which a peer's report is ignored.
    pub peer_age: Duration,
    /// Silence after which a peer is removed.
    pub peer_retention: Duration,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Timing of calls to the store.
    pub store_pacing: WatchPacing,
    pub placement: PlacementSettings,
    /// Whether cache events of replicas are followed.
    pub follow_caches: bool,
    /// Limits on requests to replicas that have just started.
    pub start_bounds: SlowStartBounds,
    /// Time over which usage is compared with fair shares.
    pub share_window: Duration,
    /// Retries per request.
    pub retry_ratio: f64,
    /// Additional retries of the whole fleet in a window.
    pub retry_extra: f64,
    /// Time over which requests and retries are counted.
    pub retry_window: Duration,
    /// Requests that are never held back.
    pub never_held: BTreeSet<SuspectDigest>,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
    /// Time from the stop signal until requests are refused.
    pub balancer_lag: Duration,
}

/// The process's memory limit divided by these is the budget for one answer, for all answers, and
/// for all bodies of requests.
const ANSWER_DIVISOR: u64 = 128;
const ALL_ANSWERS_DIVISOR: u64 = 8;
const REQUESTS_DIVISOR: u64 = 4;

/// Eighths of the memory limit for answers, bodies and connections of callers together. The rest is
/// for the program, replicas and the configuration.
const CALLER_EIGHTHS: u64 = 5;

impl DirectSettings {
    /// The default settings file, with comments. `--print-defaults` prints it.
    pub const SHIPPED: &'static str = include_str!("../../conf/direct.ini");

    /// Reads a settings file. Fails with a code from `ResultCode::SettingsFileMissing` (10) to
    /// `SettingsContradict` (19).
    pub fn read(path: &str) -> Result<Self, ConfError> {
        let settings = Self::from_file(&SettingsFile::read(path, Self::SHIPPED)?)?;
        Ok(Self {
            path: path.to_owned(),
            ..settings
        })
    }

    /// Reads a parsed settings file. Fails with a code from `ResultCode::UnknownSection` (12) to
    /// `OutOfRange` (17), or with `SettingsContradict` (19).
    pub fn from_document(document: IniDocument) -> Result<Self, ConfError> {
        Self::from_file(&SettingsFile::new(document, Self::SHIPPED)?)
    }

    /// The addresses at which this process listens, UDP and TCP.
    pub fn own_addresses(&self) -> Vec<SocketAddr> {
        vec![
            self.caller_listen,
            self.ready_listen,
            self.peer_listen,
            self.update_listen,
            self.operator.listen,
        ]
    }

    fn from_file(file: &SettingsFile) -> Result<Self, ConfError> {
        let callers = file.section("callers")?;
        let memory = file
            .section("memory")?
            .size("limit", 16_000_000..=1_000_000_000_000)?;
        let ready = file.section("ready")?;
        let peers = file.section("peers")?;
        let catalog = file.section("catalog")?;
        let retry = file.section("retry")?;
        let stop = file.section("stop")?;
        let (ms, second) = (Duration::from_millis(1), Duration::from_secs(1));
        let peer_age = peers.duration("age", 50 * ms..=60 * second)?;
        Ok(Self {
            path: String::new(),
            process: ProcessSettings::read(file)?,
            operator: OperatorSettings::read(file)?,
            caller_listen: callers.parsed("listen", "an IP:port")?,
            max_connections: callers.number("max_connections", 1..=1_000_000)?,
            regions: regions(file)?,
            answer_memory: MemoryBudget {
                per_connection: memory / ANSWER_DIVISOR,
                total: memory / ALL_ANSWERS_DIVISOR,
            },
            request_memory: MemoryBudget {
                per_connection: memory / REQUESTS_DIVISOR,
                total: memory / REQUESTS_DIVISOR,
            },
            caller_memory: memory / 8 * CALLER_EIGHTHS,
            max_busy_share: callers.number("most_busy", 0.01..=1.0)?,
            forward_busy_share: callers.number("hand_on", 0.0..=1.0)?,
            ready_listen: ready.parsed("listen", "an IP:port")?,
            ready_path: ready.text("path")?.to_owned(),
            peer_listen: peers.parsed("listen", "an IP:port")?,
            update_listen: peers.parsed("news", "an IP:port")?,
            seeds: peers
                .list("seeds")
                .into_iter()
                .map(|seed| {
                    seed.parse().map_err(|_| {
                        let detail = format!("\"{seed}\" is not an IP:port");
                        peers.fault(ResultCode::BadValue, "seeds", &detail)
                    })
                })
                .collect::<Result<_, _>>()?,
            peer_interval: peers.duration("interval", 10 * ms..=10 * second)?,
            peer_age,
            peer_retention: peers.duration("forget", second..=3600 * second)?,
            store_address: catalog.parsed("address", "an IP:port")?,
            store_pacing: store_pacing(file)?,
            placement: placement(file, peer_age)?,
            follow_caches: file.section("caches")?.number("follow", 0..=1)? == 1,
            start_bounds: start_bounds(file)?,
            share_window: file
                .section("shares")?
                .duration("window", 100 * ms..=600 * second)?,
            retry_ratio: retry.number("ratio", 0.0..=1.0)?,
            retry_extra: retry.number("extra", 0.0..=1e6)?,
            retry_window: retry.duration("window", 100 * ms..=600 * second)?,
            never_held: never_held(file)?,
            grace: stop.duration("grace", 500 * ms..=600 * second)?,
            balancer_lag: stop.duration("balancer_lag", Duration::ZERO..=600 * second)?,
        })
    }
}

fn regions(file: &SettingsFile) -> Result<BTreeMap<String, String>, ConfError> {
    let section = file.section("regions")?;
    let items = section.list("zones").into_iter();
    let pairs = items.map(|item| match item.split_once(':') {
        Some((zone, region)) if !zone.is_empty() && !region.is_empty() => {
            Ok((zone.trim().to_owned(), region.trim().to_owned()))
        }
        _ => {
            let detail = format!("\"{item}\" is not ZONE:REGION");
            Err(section.fault(ResultCode::BadValue, "zones", &detail))
        }
    });
    pairs.collect()
}

fn never_held(file: &SettingsFile) -> Result<BTreeSet<SuspectDigest>, ConfError> {
    let section = file.section("suspects")?;
    let items = section.list("let_through").into_iter();
    let digests = items.map(|item| {
        item.parse().map_err(|()| {
            let detail = format!("\"{item}\" is not a digest of 16 hexadecimal digits");
            section.fault(ResultCode::BadValue, "let_through", &detail)
        })
    });
    digests.collect()
}

fn store_pacing(file: &SettingsFile) -> Result<WatchPacing, ConfError> {
    let section = file.section("catalog")?;
    let (ms, second) = (Duration::from_millis(1), Duration::from_secs(1));
    let apply = section.duration("apply", 500 * ms..=60 * second)?;
    let cordon_apply = match section.optional("cordon_apply") {
        Some(_) => section.duration("cordon_apply", 500 * ms..=3600 * second)?,
        None => apply,
    };
    let pacing = WatchPacing {
        apply: apply.min(cordon_apply),
        pause: section.duration("pause", Duration::ZERO..=10 * second)?,
        retry_pause: section.duration("retry_pause", 10 * ms..=60 * second)?,
    };
    if pacing.meets_apply() {
        return Ok(pacing);
    }
    let detail =
        "apply is too short for a watch beside pause and late answers, or not above retry_pause";
    Err(section.fault(ResultCode::SettingsContradict, "apply", detail))
}

fn start_bounds(file: &SettingsFile) -> Result<SlowStartBounds, ConfError> {
    let section = file.section("slow_start")?;
    Ok(SlowStartBounds {
        overage: section.number("overage", 0.01..=100.0)?,
        tolerance: section.number("tolerance", 0.0..=1e6)?,
    })
}

fn placement(
    file: &SettingsFile,
    peer_age: Duration,
) -> Result<PlacementSettings, ConfError> {
    let section = file.section("placement")?;
    Ok(PlacementSettings {
        aim_share: section.number("aim_share", 0.01..=10.0)?,
        over_share: section.number("over_share", 0.0..=1.0)?,
        behind_share: section.number("behind_share", 1.0..=4.0)?,
        own_weight: section.number("own_weight", 0.0..=1.0)?,
        reread_weight: section.number("reread_weight", 0.0..=100.0)?,
        fetch_weight: section.number("fetch_weight", 0.0..=100.0)?,
        memory_share: section.number("memory_share", 0.01..=1.0)?,
        zone_penalty: section.duration("zone_penalty", Duration::ZERO..=Duration::from_secs(1))?,
        plain_zone_penalty: section.duration(
            "plain_zone_penalty",
            Duration::ZERO..=Duration::from_secs(1),
        )?,
        peer_age,
    })
}
