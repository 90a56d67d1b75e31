use {
    super::{ConfError, SettingsFile},
    crate::{codes::ResultCode, link::DialTarget},
    std::{net::SocketAddr, time::Duration},
};

/// `[platform]`: where configuration and the host list are read.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    pub address: SocketAddr,
    pub watch_wait: Duration,     // how long a watch may stay open
    pub retry_pause: Duration,    // upper bound of the random pause
    pub bootstrap_wait: Duration, // how long peers are asked at start
    pub seeds: Vec<DialTarget>,   // peers known without the platform
}

impl PlatformSettings {
    /// Reads the section: codes 14 to 17.
    pub fn read(file: &SettingsFile) -> Result<Self, ConfError> {
        let section = file.section("platform")?;
        let second = Duration::from_secs(1);
        let mut seeds = Vec::new();
        for word in section.list("seeds") {
            let seed = word.parse().map_err(|_| {
                let detail = format!("\"{word}\" is not HOST.ROLE@IP:port");
                section.fault(ResultCode::BadValue, "seeds", &detail)
            })?;
            seeds.push(seed);
        }
        Ok(Self {
            address: section.parsed("address", "an IP:port")?,
            watch_wait: section.duration("watch_wait", second / 10..=60 * second)?,
            retry_pause: section.duration("retry_pause", second / 100..=60 * second)?,
            bootstrap_wait: section.duration("bootstrap_wait", Duration::ZERO..=60 * second)?,
            seeds,
        })
    }
}
