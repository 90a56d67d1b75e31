//! A router's view of one replica.

mod pace_observations;
mod plain_times;
mod replica_health;
mod replica_observations;
mod replica_view;

pub use {
    pace_observations::PaceObservations,
    plain_times::{PlainRun, PlainTimes},
    replica_health::ReplicaHealth,
    replica_observations::ReplicaObservations,
    replica_view::ReplicaView,
};
