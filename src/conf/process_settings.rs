use {
    super::{ConfError, SettingsFile},
    std::time::Duration,
};

/// `[process]`: identity and resources of this process.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    pub host: String, // name of this host; in the granted form, as in the platform's host list
    pub zone: String, // availability zone
    pub workers: usize, // worker threads
    pub cores: f64,   // CPU cores that the process may use; may be a fraction
    pub pause_limit: Duration, // a longer gap in the process's execution counts as a suspension
}

impl ProcessSettings {
    /// Reads the section. Fails with `ResultCode::MissingKey` (14), `BadValue` (15),
    /// `WrongUnit` (16) or `OutOfRange` (17).
    pub fn read(file: &SettingsFile) -> Result<Self, ConfError> {
        let section = file.section("process")?;
        Ok(Self {
            host: section.text("host")?.to_owned(),
            zone: section.text("zone")?.to_owned(),
            workers: section.number("workers", 1..=64)?,
            cores: section.number("cores", 0.01..=64.0)?,
            pause_limit: section.duration(
                "pause_limit",
                Duration::from_millis(200)..=Duration::from_secs(60),
            )?,
        })
    }
}
