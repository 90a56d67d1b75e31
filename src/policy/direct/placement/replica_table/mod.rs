//! The replicas as seen by one router: their observed state, and the choice among them.

mod estimates;
mod choice;
mod outcomes;
mod cache_events;
mod notices;
mod paces;
mod pauses;
mod plain_choice;
mod refusals;
mod peer_reports;
mod slow_start;
mod in_flight;
mod table;

pub use table::ReplicaTable;
