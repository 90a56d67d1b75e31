use {
    super::{
        ConfError, IniDocument, LinkSettings, OperatorSettings, PlatformSettings, ProcessSettings,
        SettingsFile,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Everything a router is told on its host.
#[derive(Debug, Clone)]
pub struct RouterSettings {
    pub process: ProcessSettings,
    pub link: LinkSettings,
    pub platform: PlatformSettings,
    pub operator: OperatorSettings,
    pub callers: SocketAddr,       // HTTP address for callers
    pub max_body: u64,             // bytes
    pub max_requests: usize,       // waiting in all
    pub max_bytes: u64,            // waiting in all
    pub max_per_account: usize,    // waiting for one account
    pub refuse_early: bool,        // refuse at once when patience cannot be met
    pub demand_interval: Duration, // pace of announcements
    pub demand_budget: u64,        // bytes a second, over all sidecars
    pub demand_cap: u32,           // largest count announced
    pub reach: usize,              // sidecars connected to begin with, 0 is all
    pub retry_fraction: f64,       // retries per request
    pub prefix_slack: Duration,    // age difference bound of prefix affinity
    pub prefix_bytes: usize,       // of the prompt
    pub idle_grace: Duration,      // idle time that ends stored credit
    pub debt_ceiling: f64,         // service units per share
    pub balancer_lag: Duration,    // between unready and refusing
}

impl RouterSettings {
    /// The commented defaults that ship with the product.
    pub const SHIPPED: &'static str = include_str!("../../conf/router.ini");

    /// Reads a settings file: codes 10 to 18.
    pub fn read(path: &str) -> Result<Self, ConfError> {
        Self::from_file(&SettingsFile::read(path, Self::SHIPPED)?)
    }

    /// Reads a parsed settings file: codes 12 to 17.
    pub fn from_document(document: IniDocument) -> Result<Self, ConfError> {
        Self::from_file(&SettingsFile::new(document, Self::SHIPPED)?)
    }

    fn from_file(file: &SettingsFile) -> Result<Self, ConfError> {
        let callers = file.section("callers")?;
        let waiting = file.section("waiting")?;
        let dispatch = file.section("dispatch")?;
        let keeper = file.section("keeper")?;
        let second = Duration::from_secs(1);
        Ok(Self {
            process: ProcessSettings::read(file)?,
            link: LinkSettings::read(file)?,
            platform: PlatformSettings::read(file)?,
            operator: OperatorSettings::read(file)?,
            callers: callers.parsed("listen", "an IP:port")?,
            max_body: callers.size("max_body", 1..=64 << 20)?,
            max_requests: waiting.number("max_requests", 1..=10_000_000)?,
            max_bytes: waiting.size("max_bytes", 1..=64 << 30)?,
            max_per_account: waiting.number("max_per_account", 1..=10_000_000)?,
            refuse_early: waiting.flag("refuse_early")?,
            demand_interval: dispatch.duration("demand_interval", second / 1000..=second)?,
            demand_budget: dispatch.size("demand_budget", 100..=1 << 30)?,
            demand_cap: dispatch.number("demand_cap", 1..=100_000)?,
            reach: dispatch.number("reach", 0..=100_000)?,
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
