//! Measurements on running fleets, most of them compared with a baseline.

mod ahead;
mod control;
mod costs;
mod latency;
mod prefix;
mod process_usage;
mod request_costs;
mod revision_time;
mod stats;
mod zone_loss;

pub use {
    ahead::{AheadResult, measure_ahead},
    control::{ControlResult, control_since, control_snapshot},
    costs::{FleetScale, StepCosts, step_costs},
    latency::{LatencyResult, measure_latency},
    prefix::{PrefixResult, measure_prefix},
    process_usage::ProcessUsage,
    request_costs::{RequestCosts, request_costs},
    revision_time::{RevisionResult, measure_revision},
    stats::{median, percentile},
    zone_loss::{ZoneLossResult, measure_zone_loss},
};
