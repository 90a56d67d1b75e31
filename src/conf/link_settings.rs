use {
    super::{ConfError, SettingsFile},
    std::{net::SocketAddr, time::Duration},
};

/// `[link]`: connections between routers and sidecars of the granted form.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    pub listen: SocketAddr,     // QUIC over UDP
    pub authority: String,      // path of the certificate of the fleet's authority, PEM
    pub certificate: String,    // path of this process's certificate, PEM
    pub private_key: String,    // path of its private key, PEM
    pub idle_timeout: Duration, // silence after which a connection is closed
    pub keep_alive: Duration,   // interval between pings
    pub max_exchanges: u32,     // concurrent streams on one connection
}

impl LinkSettings {
    /// Reads the section. Fails with `ResultCode::MissingKey` (14), `BadValue` (15),
    /// `WrongUnit` (16) or `OutOfRange` (17).
    pub fn read(file: &SettingsFile) -> Result<Self, ConfError> {
        let section = file.section("link")?;
        let second = Duration::from_secs(1);
        Ok(Self {
            listen: section.parsed("listen", "an IP:port")?,
            authority: section.text("authority")?.to_owned(),
            certificate: section.text("certificate")?.to_owned(),
            private_key: section.text("private_key")?.to_owned(),
            idle_timeout: section.duration("idle_timeout", second..=60 * second)?,
            keep_alive: section.duration("keep_alive", second / 10..=30 * second)?,
            max_exchanges: section.number("max_exchanges", 1..=65_536)?,
        })
    }
}
