use {
    super::{AllowedRegions, RouteKind, ServiceShare},
    std::{sync::Arc, time::Duration},
};

/// Where requests below one host and path prefix go, and how.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,        // lower case, without port
    pub path_prefix: String, // begins and ends with a slash
    pub kind: RouteKind,
    pub timeout: Duration,               // longest that a request is held
    pub aim: Duration,                   // to the answer, or the first event of a stream
    pub pause_aim: Option<Duration>,     // longest pause between events that is in time
    pub priority: u32,                   // 0 is the most urgent
    pub shares: Vec<ServiceShare>,       // at least one
    pub max_attempts: u32,               // replicas that one request may be sent to
    pub public: bool,                    // needs no key
    pub regions: Option<AllowedRegions>, // anywhere if none
}

impl Route {
    /// The service for a request; `draw` is uniform in [0, 1).
    pub fn service(
        &self,
        draw: f64,
    ) -> Option<&Arc<str>> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = draw * total;
        for share in &self.shares {
            left -= share.weight;
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        let weighted = self.shares.iter().rev().find(|share| share.weight > 0.0);
        weighted.or(self.shares.first()).map(|share| &share.service)
    }
}
