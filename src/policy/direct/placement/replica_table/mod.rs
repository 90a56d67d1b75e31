//! The replicas as seen by one router: their observed state, and the choice among them.

mod cache_events;
mod choice;
mod estimates;
mod in_flight;
mod notices;
mod outcomes;
mod paces;
mod pauses;
mod peer_reports;
mod plain_choice;
mod refusals;
mod slow_start;
mod table;
mod versions;

pub use table::ReplicaTable;
