use {
    super::{AllowedRegions, RouteKind, WeightedService},
    std::{sync::Arc, time::Duration},
};

/// How requests for one host and path prefix are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,        // lower case, without port
    pub path_prefix: String, // begins and ends with a slash
    pub kind: RouteKind,
    pub timeout: Duration,               // longest time that a request is held
    pub target_latency: Duration,        // for the answer or first stream event
    pub target_pause: Option<Duration>,  // longest pause between stream events that is in time
    pub priority: u32,                   // 0 is the most urgent
    pub services: Vec<WeightedService>,  // traffic split over services; at least one
    pub max_attempts: u32,               // replicas that one request may be sent to
    pub public: bool,                    // needs no API key
    pub regions: Option<AllowedRegions>, // none: no restriction
}

impl Route {
    /// The services to which the route sends requests.
    pub fn allowed_services(&self) -> impl Iterator<Item = &Arc<str>> {
        let weighted = self.services.iter().filter(|service| service.weight > 0.0);
        weighted.map(|service| &service.service)
    }

    /// Picks a service by weight; `draw` is uniform in [0, 1).
    pub fn pick_service(
        &self,
        draw: f64,
    ) -> Option<&Arc<str>> {
        let total: f64 = self.services.iter().map(|service| service.weight).sum();
        let mut remaining = draw * total;
        for service in &self.services {
            remaining -= service.weight;
            if remaining < 0.0 {
                return Some(&service.service);
            }
        }
        let weighted = self
            .services
            .iter()
            .rev()
            .find(|service| service.weight > 0.0);
        weighted
            .or(self.services.first())
            .map(|service| &service.service)
    }
}
