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

/// Settings of a sidecar.
#[derive(Debug, Clone)]
pub struct SidecarSettings {
    pub process: ProcessSettings,
    pub link: LinkSettings,
    pub platform: PlatformSettings,
    pub operator: OperatorSettings,
    /// Address of the upstream beside this process.
    pub upstream: SocketAddr,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Most granted requests held ready for a free slot.
    pub max_ready: u32,
    /// Longest wait for the next byte of the upstream.
    pub silence_limit: Duration,
    /// Order of service: fair, or by arrival as a baseline for measurements.
    pub order: OrderMode,
    /// Whether the service of all sidecars counts, or only that of this one as a baseline for
    /// measurements.
    pub totals: TotalsMode,
    /// Difference between accounts that is ignored, in service units per share.
    pub slack: f64,
    /// Largest lead of an account that counts against it, in service units per share.
    pub debt_ceiling: f64,
    /// Lifetime of an unused grant.
    pub grant_ttl: Duration,
    /// Interval between two reports of service to the routers that sum it.
    pub report_interval: Duration,
    /// Idle time after which an account has no credit any more.
    pub idle_grace: Duration,
    /// How long an idempotency key is remembered.
    pub key_memory: Duration,
    /// Most idempotency keys remembered.
    pub max_keys: usize,
    /// Time after a start in which requests with an idempotency key that may run only once are
    /// refused.
    pub key_quarantine: Duration,
}

impl SidecarSettings {
    /// The default settings file, with comments. `--print-defaults` prints it.
    pub const SHIPPED: &'static str = include_str!("../../conf/sidecar.ini");

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
            max_ready: upstream.number("ahead", 0..=10_000)?,
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
