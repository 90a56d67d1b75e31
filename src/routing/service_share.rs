use std::sync::Arc;

/// A part of a route's traffic.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceShare {
    pub service: Arc<str>,
    pub weight: f64, // relative to the route's other shares
}
