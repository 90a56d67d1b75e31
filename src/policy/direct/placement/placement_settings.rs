use std::time::Duration;

/// The bounds that placement keeps.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementSettings {
    pub aim_share: f64,     // part of what aims leave that reading in front may take
    pub over_share: f64,    // part of that which accounts over their share may use
    pub behind_share: f64,  // the same for accounts that got too little
    pub own_weight: f64,    // how much a request's own reading counts against the bound
    pub reread_weight: f64, // cost of reading a part again, relative to reading
    pub fetch_weight: f64,  // cost of a fetched token, relative to reading it
    pub memory_share: f64,  // part of an engine's memory that running requests may take
    pub zone_penalty: Duration, // of a replica in another availability zone
    pub plain_zone_penalty: Duration, // the same for plain requests
    pub peer_age: Duration, // older reports of peers are ignored
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            aim_share: 1.0,
            over_share: 0.3,
            behind_share: 2.0,
            own_weight: 0.5,
            reread_weight: 1.0,
            fetch_weight: 0.2,
            memory_share: 0.9,
            zone_penalty: Duration::from_millis(1),
            plain_zone_penalty: Duration::from_millis(1),
            peer_age: Duration::from_secs(1),
        }
    }
}
