//! What routers have at replicas.

mod fleet_size;
mod load;
mod peer_loads;
mod replica_report;
mod work;

pub use {
    fleet_size::FleetSize,
    load::Load,
    peer_loads::PeerLoads,
    replica_report::ReplicaReport,
    work::{Work, WorkNumber},
};
