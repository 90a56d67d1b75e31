use std::time::Duration;

/// Limits and weights of the choice of a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementSettings {
    /// Fraction of the time left by the target latencies that a replica's queue may fill.
    pub aim_share: f64,
    /// Factor on `aim_share` for accounts above their fair share.
    pub over_share: f64,
    /// Factor on `aim_share` for accounts below their fair share.
    pub behind_share: f64,
    /// Weight of a request's own prefill against the queue limit.
    pub own_weight: f64,
    /// Cost of a prompt token that is computed although another replica caches it, relative
    /// to its prefill time.
    pub reread_weight: f64,
    /// Cost of a token fetched from another replica, relative to its prefill time.
    pub fetch_weight: f64,
    /// Fraction of an engine's token memory that running requests may reserve.
    pub memory_share: f64,
    /// Cost of a replica in another availability zone, for prompts.
    pub zone_penalty: Duration,
    /// The same for plain requests, which carry no prompt.
    pub plain_zone_penalty: Duration,
    /// Age beyond which load reports of peers are ignored.
    pub peer_age: Duration,
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
