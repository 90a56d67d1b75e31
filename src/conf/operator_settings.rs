use {
    super::{ConfError, SettingsFile},
    std::net::SocketAddr,
};

/// `[operator]`: the HTTP port for operators, which callers cannot reach.
#[derive(Debug, Clone)]
pub struct OperatorSettings {
    pub listen: SocketAddr,
    pub audit_entries: usize, // of the audit trail in memory
}

impl OperatorSettings {
    /// Reads the section. Fails with `ResultCode::MissingKey` (14), `BadValue` (15) or
    /// `OutOfRange` (17).
    pub fn read(file: &SettingsFile) -> Result<Self, ConfError> {
        let section = file.section("operator")?;
        Ok(Self {
            listen: section.parsed("listen", "an IP:port")?,
            audit_entries: section.number("audit_entries", 10..=1_000_000)?,
        })
    }
}
