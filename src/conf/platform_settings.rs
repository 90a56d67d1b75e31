use {
    super::{ConfError, SettingsFile},
    crate::{catalog::WatchPacing, codes::ResultCode, link::DialTarget},
    std::{net::SocketAddr, time::Duration},
};

/// `[platform]`: the service that publishes the configuration and the host list.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    pub address: SocketAddr,
    /// Timing of calls to the service.
    pub pacing: WatchPacing,
    /// Longest time to ask peers for a newer configuration at start.
    pub bootstrap_wait: Duration,
    /// Peers to dial before a host list is known.
    pub seeds: Vec<DialTarget>,
}

impl PlatformSettings {
    /// Reads the section. Fails with `ResultCode::MissingKey` (14), `BadValue` (15),
    /// `WrongUnit` (16), `OutOfRange` (17) or `SettingsContradict` (19).
    pub fn read(file: &SettingsFile) -> Result<Self, ConfError> {
        let section = file.section("platform")?;
        let second = Duration::from_secs(1);
        let mut seeds = Vec::new();
        for item in section.list("seeds") {
            let seed = item.parse().map_err(|_| {
                let detail = format!("\"{item}\" is not HOST.ROLE@IP:port");
                section.fault(ResultCode::BadValue, "seeds", &detail)
            })?;
            seeds.push(seed);
        }
        let pacing = WatchPacing {
            apply: section.duration("apply", second..=60 * second)?,
            pause: Duration::ZERO,
            retry_pause: section.duration("retry_pause", second / 100..=60 * second)?,
        };
        if !pacing.meets_apply() {
            let detail = "apply leaves no time after retry_pause";
            return Err(section.fault(ResultCode::SettingsContradict, "apply", detail));
        }
        Ok(Self {
            address: section.parsed("address", "an IP:port")?,
            pacing,
            bootstrap_wait: section.duration("bootstrap_wait", Duration::ZERO..=60 * second)?,
            seeds,
        })
    }
}
