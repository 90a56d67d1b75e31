use std::sync::Arc;

/// Hosts that may serve a request, sorted by name and shared between requests.
pub type HostSet = Arc<[Arc<str>]>;
