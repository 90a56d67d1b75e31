use {
    super::{
        ConfError, IniDocument, LinkSettings, OperatorSettings, PlatformSettings, ProcessSettings,
        SettingsFile,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Settings of a router of the granted form.
#[derive(Debug, Clone)]
pub struct RouterSettings {
    pub process: ProcessSettings,
    pub link: LinkSettings,
    pub platform: PlatformSettings,
    pub operator: OperatorSettings,
    /// HTTP address for callers.
    pub caller_listen: SocketAddr,
    /// Largest body of a request, in bytes.
    pub max_body: usize,
    /// Largest head of a request, in bytes.
    pub max_head: usize,
    /// Memory in bytes for all that callers decide on.
    pub caller_memory: u64,
    /// Most queued requests, of all accounts.
    pub max_requests: usize,
    /// Most bytes of all queued requests.
    pub max_bytes: u64,
    /// Most queued requests of one account.
    pub max_per_account: usize,
    /// Whether a request is refused at once if its estimated wait exceeds its patience.
    pub refuse_early: bool,
    /// Shortest interval between two announcements of queued requests to sidecars.
    pub demand_interval: Duration,
    /// Bytes of announcements a second, to all sidecars.
    pub demand_budget: u64,
    /// Largest count of requests announced for one account and class.
    pub demand_cap: u32,
    /// Number of sidecars to connect to at first; 0 for all.
    pub initial_sidecars: usize,
    /// Retries per request.
    pub retry_fraction: f64,
    /// A request whose prompt prefix the sidecar served before may overtake one that has waited
    /// longer by at most this.
    pub prefix_slack: Duration,
    /// Bytes of a prompt that are compared as its prefix.
    pub prefix_bytes: usize,
    /// Idle time after which an account has no credit any more.
    pub idle_grace: Duration,
    /// Largest lead of an account that counts against it, in service units per share.
    pub debt_ceiling: f64,
    /// Time from the stop signal until requests are refused.
    pub balancer_lag: Duration,
}

impl RouterSettings {
    /// The default settings file, with comments. `--print-defaults` prints it.
    pub const SHIPPED: &'static str = include_str!("../../conf/router.ini");

    /// Reads a settings file. Fails with a code from `ResultCode::SettingsFileMissing` (10) to
    /// `SettingsContradict` (19).
    pub fn read(path: &str) -> Result<Self, ConfError> {
        Self::from_file(&SettingsFile::read(path, Self::SHIPPED)?)
    }

    /// Reads a parsed settings file. Fails with a code from `ResultCode::UnknownSection` (12) to
    /// `OutOfRange` (17), or with `SettingsContradict` (19).
    pub fn from_document(document: IniDocument) -> Result<Self, ConfError> {
        Self::from_file(&SettingsFile::new(document, Self::SHIPPED)?)
    }

    fn from_file(file: &SettingsFile) -> Result<Self, ConfError> {
        let callers = file.section("callers")?;
        let waiting = file.section("waiting")?;
        let dispatch = file.section("dispatch")?;
        let keeper = file.section("keeper")?;
        let second = Duration::from_secs(1);
        let max_bytes = waiting.size("max_bytes", 1..=64 << 30)?;
        Ok(Self {
            process: ProcessSettings::read(file)?,
            link: LinkSettings::read(file)?,
            platform: PlatformSettings::read(file)?,
            operator: OperatorSettings::read(file)?,
            caller_listen: callers.parsed("listen", "an IP:port")?,
            max_body: callers.size("max_body", 1..=64 << 20)? as usize,
            max_requests: waiting.number("max_requests", 1..=10_000_000)?,
            max_head: callers.size("max_head", 8 << 10..=16 << 20)? as usize,
            caller_memory: max_bytes + callers.size("memory", 1 << 20..=64 << 30)?,
            max_bytes,
            max_per_account: waiting.number("max_per_account", 1..=10_000_000)?,
            refuse_early: waiting.flag("refuse_early")?,
            demand_interval: dispatch.duration("demand_interval", second / 1000..=second)?,
            demand_budget: dispatch.size("demand_budget", 100..=1 << 30)?,
            demand_cap: dispatch.number("demand_cap", 1..=100_000)?,
            initial_sidecars: dispatch.number("reach", 0..=100_000)?,
            retry_fraction: dispatch.number("retry_fraction", 0.0..=1.0)?,
            prefix_slack: dispatch.duration("prefix_slack", Duration::ZERO..=60 * second)?,
            prefix_bytes: dispatch.size("prefix_bytes", 1..=1 << 20)? as usize,
            idle_grace: keeper.duration("idle_grace", second / 100..=600 * second)?,
            debt_ceiling: keeper.number("debt_ceiling", 0.0..=1e15)?,
            balancer_lag: file
                .section("stop")?
                .duration("balancer_lag", Duration::ZERO..=600 * second)?,
        })
    }
}
