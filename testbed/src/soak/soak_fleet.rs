use {
    archmast::conf::{ConfError, IniDocument, SettingsFile},
    std::{path::PathBuf, time::Duration},
};

/// The fleet that a soak starts, and which faults are injected.
#[derive(Debug, Clone, PartialEq)]
pub struct SoakFleet {
    pub zones: usize,
    pub per_zone: usize,        // routers
    pub callers: usize,         // of each router
    pub retry_ratio: f64,       // retries per request
    pub retry_extra: f64,       // additional retries of all routers in ten seconds
    pub plain: usize,           // replicas of the plain service
    pub events: usize,          // replicas of the service that streams events
    pub event_pause: Duration,  // between two events of a stream
    pub drain: Duration, // from the store's confirmation until nothing reaches a leaving replica
    pub contact: Duration, // for how long after a fault its router is excused
    pub evacuate: Duration, // from the store's confirmation until nothing reaches a cordoned zone
    pub slow_per_second: usize, // requests to a replica in its slow start; 0 is no limit
    pub faults: bool,    // this and the next nine: whether the series of this name is drawn
    pub silences: bool,
    pub movements: bool,
    pub cordons: bool,
    pub slow_returns: bool,
    pub notices: bool,
    pub store_losses: bool,
    pub versions: bool,
    pub pauses: bool,
    pub changes: bool,
    pub other_build: Option<PathBuf>, // program that replaces the routers for a time
}

/// Most routers that a fleet file may ask for, against typing errors: a test machine runs a
/// few hundred processes at most, and fleets have up to 30 routers.
const MAX_ROUTERS: usize = 120;

/// Most replicas of one service that a fleet file may ask for; fleets have up to 54 in all.
const MAX_REPLICAS: usize = 200;

/// Range of the time limits in the section `[bounds]`.
const BOUND_RANGE: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(60);

/// Range of the pause between two events.
const EVENT_PAUSE_RANGE: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(1);

impl SoakFleet {
    /// The default fleet file, with comments.
    pub const SHIPPED: &str = include_str!("../../fleets/small.ini");

    /// Reads a fleet file; missing keys come from the default.
    ///
    /// # Errors
    ///
    /// Result codes 10 to 18.
    pub fn read(path: &str) -> Result<Self, ConfError> {
        Self::from_file(SettingsFile::read(path, Self::SHIPPED)?)
    }

    /// Parses the text of a fleet file; missing keys come from the default.
    ///
    /// # Errors
    ///
    /// Result codes 11 to 18.
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
            per_zone: routers.number("per_zone", 1..=MAX_ROUTERS / zones)?,
            callers: routers.number("callers", 1..=100)?,
            retry_ratio: routers.number("retry_ratio", 0.0..=1.0)?,
            retry_extra: routers.number("retry_extra", 0.0..=1000.0)?,
            plain: replicas.number("plain", 1..=MAX_REPLICAS)?,
            events: replicas.number("events", 1..=MAX_REPLICAS)?,
            event_pause: replicas.duration("event_pause", EVENT_PAUSE_RANGE)?,
            drain: bounds.duration("drain", BOUND_RANGE)?,
            contact: bounds.duration("contact", BOUND_RANGE)?,
            evacuate: bounds.duration("evacuate", BOUND_RANGE)?,
            slow_per_second: bounds.number("slow_per_second", 0..=1000)?,
            faults: work.flag("faults")?,
            silences: work.flag("silences")?,
            movements: work.flag("movements")?,
            cordons: work.flag("cordons")?,
            slow_returns: work.flag("slow_returns")?,
            notices: work.flag("notices")?,
            store_losses: work.flag("store_losses")?,
            versions: work.flag("versions")?,
            pauses: work.flag("pauses")?,
            changes: work.flag("changes")?,
            other_build: None,
        })
    }

    /// Number of routers in all zones.
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
