use {
    super::{ConfError, SettingsFile},
    std::time::Duration,
};

/// `[process]`: who this process is.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    pub host: String,          // name in the platform's host list
    pub zone: String,          // availability zone
    pub workers: usize,        // threads of the pool
    pub cores: f64,            // processor cores that it may use, parts too
    pub pause_limit: Duration, // longer gaps count as a pause
}

impl ProcessSettings {
    /// Reads the section: codes 14 to 17.
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
