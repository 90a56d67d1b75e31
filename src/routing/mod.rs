//! Finds the service for a request: routes by host and path, accounts by API key, and the
//! limits on what callers may send.
//!
//! A [`RoutingTable`] is one version of the operator's configuration, indexed for look-up. It
//! is immutable and holds no state of the process.

mod account_entry;
mod allowed_regions;
mod engine_spec;
mod request_limits;
mod route;
mod route_kind;
mod routing_table;
mod service;
mod weighted_service;

pub use {
    account_entry::AccountEntry, allowed_regions::AllowedRegions, engine_spec::EngineSpec,
    request_limits::RequestLimits, route::Route, route_kind::RouteKind,
    routing_table::RoutingTable, service::Service, weighted_service::WeightedService,
};
