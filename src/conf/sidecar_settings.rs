use {
    super::{
        ConfError, IniDocument, LinkSettings, OperatorSettings, PlatformSettings, ProcessSettings,
        SettingsFile,
    },
    crate::{
        codes::ResultCode,
        policy::{OrderMode, TotalsMode},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Everything a sidecar is told on its host.
#[derive(Debug, Clone)]
pub struct SidecarSettings {
    pub process: ProcessSettings,
    pub link: LinkSettings,
    pub platform: PlatformSettings,
    pub operator: OperatorSettings,
    pub upstream: SocketAddr,      // the upstream beside this process
    pub slots: u32,                // requests the upstream runs at once
    pub ahead: u32,                // granted requests held ready
    pub silence_limit: Duration,   // longest silence of the upstream
    pub order: OrderMode,          // fair, or a baseline
    pub totals: TotalsMode,        // fleet, or a baseline
    pub slack: f64,                // service units per share
    pub debt_ceiling: f64,         // service units per share
    pub grant_ttl: Duration,       // life of an unused grant
    pub report_interval: Duration, // pace of reports to keepers
    pub idle_grace: Duration,      // idle time that ends stored credit
    pub key_memory: Duration,      // how long a key is remembered
    pub max_keys: usize,           // how many keys are remembered
    pub key_quarantine: Duration,  // after a start, no keyed requests
}

impl SidecarSettings {
    /// The commented defaults that ship with the product.
    pub const SHIPPED: &'static str = include_str!("../../conf/sidecar.ini");

    /// Reads a settings file: codes 10 to 18.
    pub fn read(path: &str) -> Result<Self, ConfError> {
        Self::from_file(&SettingsFile::read(path, Self::SHIPPED)?)
    }

    /// Reads a parsed settings file: codes 12 to 17.
    pub fn from_document(document: IniDocument) -> Result<Self, ConfError> {
        Self::from_file(&SettingsFile::new(document, Self::SHIPPED)?)
    }

    fn from_file(file: &SettingsFile) -> Result<Self, ConfError> {
        let upstream = file.section("upstream")?;
        let fairness = file.section("fairness")?;
        let once = file.section("once")?;
        let second = Duration::from_secs(1);
        let order = match fairness.text("order")? {
            "fair" => OrderMode::Fair,
            "arrival" => OrderMode::Arrival,
            _ => {
                return Err(fairness.fault(ResultCode::BadValue, "order", "takes fair or arrival"));
            }
        };
        let totals = match fairness.text("totals")? {
            "fleet" => TotalsMode::Fleet,
            "local" => TotalsMode::Local,
            _ => {
                return Err(fairness.fault(ResultCode::BadValue, "totals", "takes fleet or local"));
            }
        };
        Ok(Self {
            process: ProcessSettings::read(file)?,
            link: LinkSettings::read(file)?,
            platform: PlatformSettings::read(file)?,
            operator: OperatorSettings::read(file)?,
            upstream: upstream.parsed("address", "an IP:port")?,
            slots: upstream.number("slots", 1..=100_000)?,
            ahead: upstream.number("ahead", 0..=10_000)?,
            silence_limit: upstream.duration("silence_limit", second / 10..=3600 * second)?,
            order,
            totals,
            slack: fairness.number("slack", 0.0..=1e12)?,
            debt_ceiling: fairness.number("debt_ceiling", 0.0..=1e15)?,
            grant_ttl: fairness.duration("grant_ttl", second / 100..=60 * second)?,
            report_interval: fairness.duration("report_interval", second / 100..=60 * second)?,
            idle_grace: fairness.duration("idle_grace", second / 100..=600 * second)?,
            key_memory: once.duration("key_memory", second..=86_400 * second)?,
            max_keys: once.number("max_keys", 1..=100_000_000)?,
            key_quarantine: once.duration("key_quarantine", Duration::ZERO..=3600 * second)?,
        })
    }
}
