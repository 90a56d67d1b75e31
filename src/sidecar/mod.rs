//! The process beside an upstream, which owns the upstream's capacity.

mod dispatch_table;
mod exchange;
mod housekeeping;
mod link_events;
mod relay;
mod reporter;
mod router_keys;
mod serve;
mod sidecar;
mod status;
mod turn;
mod upstream_client;
mod upstream_notice;
mod upstream_restart;
mod usage_meter;

pub use {serve::main, sidecar::Sidecar, usage_meter::UsageMeter};
