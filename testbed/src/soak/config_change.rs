/// What a version of the configuration changes, besides one more route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigChange {
    /// Nothing else.
    Routes,
    /// The added routes are split over the services with other weights, or move to one of them.
    Weights { plain: u32, events: u32 },
    /// Connections that routers may open to each replica.
    Connections(usize),
    /// Time-out of all routes, above what callers need.
    Timeout { ms: u32 },
    /// Time after which connections of callers without a request are closed.
    IdleTimeout { ms: u64 },
}
