//! In-flight load of routers at replicas.

mod expected_times;
mod fleet_size;
mod load;
mod peer_loads;
mod replica_report;
mod in_flight_request;

pub use {
    expected_times::ExpectedTimes,
    fleet_size::FleetSize,
    load::Load,
    peer_loads::PeerLoads,
    replica_report::ReplicaReport,
    in_flight_request::{InFlightRequest, InFlightId},
};
