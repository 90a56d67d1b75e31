//! A router's view of one replica.

mod plain_times;
mod replica_health;
mod replica_view;
mod pace_observations;
mod replica_observations;

pub use {
    plain_times::{PlainRun, PlainTimes},
    replica_health::ReplicaHealth,
    replica_view::ReplicaView,
    pace_observations::PaceObservations,
    replica_observations::ReplicaObservations,
};
