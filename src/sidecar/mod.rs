//! The sidecar process: runs beside one upstream, grants its capacity to routers, and
//! forwards their requests to it.

mod dispatch_table;
mod exchange;
mod housekeeping;
mod link_events;
mod relay;
mod report_service;
mod router_numbers;
mod serve;
mod sidecar;
mod slot_decision;
mod status;
mod upstream_client;
mod upstream_notice;
mod upstream_restart;
mod usage_meter;

pub use {serve::main, sidecar::Sidecar, usage_meter::UsageMeter};
