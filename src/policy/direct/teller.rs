/// Who told of loads: a router of the own zone, or another zone as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Teller {
    pub scope: TellerScope,
    pub name: u32, // short name of the router or zone: a later report replaces its last one
    pub source: u64, // of the process that counts; another one counts from another beginning
}

/// Whose loads they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TellerScope {
    /// One router of the own zone.
    Router,
    /// All routers of another zone.
    Zone,
}
