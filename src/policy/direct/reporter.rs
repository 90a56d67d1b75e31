/// Origin of a report on loads or usage: a router of this zone, or another zone as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reporter {
    pub scope: ReporterScope,
    pub name: u32, // hash of the router's address or the zone's name; a newer report replaces it
    pub source_id: u64, // identifies the process that counts; another one counts from zero again
}

/// Whose figures a report holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReporterScope {
    /// One router of this zone.
    Router,
    /// All routers of another zone.
    Zone,
}
