//! In-flight load of routers at replicas.

mod expected_work;
mod fleet_size;
mod load;
mod peer_loads;
mod replica_report;
mod work;

pub use {
    expected_work::ExpectedWork,
    fleet_size::FleetSize,
    load::Load,
    peer_loads::PeerLoads,
    replica_report::ReplicaReport,
    work::{Work, WorkNumber},
};
