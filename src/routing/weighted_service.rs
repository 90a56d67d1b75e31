use std::sync::Arc;

/// A service of a route with its weight in the route's traffic split.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    pub service: Arc<str>,
    pub weight: f64, // relative to the route's other services
}
