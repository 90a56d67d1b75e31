//! In-flight load of routers at replicas.

mod expected_times;
mod fleet_size;
mod in_flight_request;
mod load;
mod peer_loads;
mod replica_report;

pub use {
    expected_times::ExpectedTimes,
    fleet_size::FleetSize,
    in_flight_request::{InFlightId, InFlightRequest},
    load::Load,
    peer_loads::PeerLoads,
    replica_report::ReplicaReport,
};
