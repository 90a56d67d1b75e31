/// Origin of a report on loads or usage: a router of this zone, or another zone as a whole. A
/// newer report of the same origin replaces the older one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reporter {
    pub scope: ReporterScope,
    pub name: u32,      // hash of the router's address or of the zone's name
    pub source_id: u64, // the process whose counters it reports; another process counts from zero
}

/// Whose figures a report holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReporterScope {
    /// One router of this zone.
    Router,
    /// All routers of another zone.
    Zone,
}
