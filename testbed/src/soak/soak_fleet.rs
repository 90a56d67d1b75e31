use {
    archmast::conf::{ConfError, IniDocument, SettingsFile},
    std::{path::PathBuf, time::Duration},
};

/// The fleet that a soak starts, and what happens to it.
#[derive(Debug, Clone, PartialEq)]
pub struct SoakFleet {
    pub zones: usize,
    pub per_zone: usize,        // routers
    pub callers: usize,         // of each router
    pub plain: usize,           // replicas that answer whole
    pub events: usize,          // replicas that answer with a stream
    pub drain: Duration,        // from the store's word until nothing reaches a leaving replica
    pub contact: Duration,      // trouble within it excuses a router
    pub evacuate: Duration,     // from the store's word until nothing reaches an emptied zone
    pub slow_per_second: usize, // requests that a replica bears after a start; 0 is no bound
    pub faults: bool,
    pub silences: bool,
    pub movements: bool,
    pub cordons: bool,
    pub slow_returns: bool,
    pub notices: bool,
    pub other_build: Option<PathBuf>, // that routers are replaced by, and back
}

/// The most routers that a file may ask for, against slips of the pen: a few hundred
/// processes are the bound of this machine, and 30 are the most that were run.
const MOST_ROUTERS: usize = 120;

/// The most replicas of one service that a file may ask for; 54 in all were run.
const MOST_REPLICAS: usize = 200;

/// Times that a bound may have.
const TIMES: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(60);

impl SoakFleet {
    /// The default, commented.
    pub const SHIPPED: &str = include_str!("../../fleets/small.ini");

    /// Reads a file over the default: codes 10 to 18.
    pub fn read(path: &str) -> Result<Self, ConfError> {
        Self::from_file(SettingsFile::read(path, Self::SHIPPED)?)
    }

    /// Reads a text over the default: codes 11 to 18.
    pub fn parse(text: &str) -> Result<Self, ConfError> {
        let document = IniDocument::parse("a fleet", text)?;
        Self::from_file(SettingsFile::new(document, Self::SHIPPED)?)
    }

    fn from_file(file: SettingsFile) -> Result<Self, ConfError> {
        let routers = file.section("routers")?;
        let replicas = file.section("replicas")?;
        let bounds = file.section("bounds")?;
        let work = file.section("work")?;
        let zones = routers.number("zones", 1..=10)?;
        Ok(Self {
            zones,
            per_zone: routers.number("per_zone", 1..=MOST_ROUTERS / zones)?,
            callers: routers.number("callers", 1..=100)?,
            plain: replicas.number("plain", 1..=MOST_REPLICAS)?,
            events: replicas.number("events", 1..=MOST_REPLICAS)?,
            drain: bounds.duration("drain", TIMES)?,
            contact: bounds.duration("contact", TIMES)?,
            evacuate: bounds.duration("evacuate", TIMES)?,
            slow_per_second: bounds.number("slow_per_second", 0..=1000)?,
            faults: work.flag("faults")?,
            silences: work.flag("silences")?,
            movements: work.flag("movements")?,
            cordons: work.flag("cordons")?,
            slow_returns: work.flag("slow_returns")?,
            notices: work.flag("notices")?,
            other_build: None,
        })
    }

    /// Routers in all zones.
    pub fn routers(&self) -> usize {
        self.zones * self.per_zone
    }

    /// The service of each replica.
    pub fn services(&self) -> Vec<&'static str> {
        let plain = std::iter::repeat_n("plain", self.plain);
        plain
            .chain(std::iter::repeat_n("events", self.events))
            .collect()
    }
}

impl Default for SoakFleet {
    fn default() -> Self {
        Self::parse("").expect("the shipped fleet is sound")
    }
}
