//! Runs router processes of the direct form, with stand-ins for the users' platform:
//! the store, the replicas and the clients.

mod client;
mod client_answer;
mod config_text;
mod direct_fleet;
mod forwarding_fleet;
mod piece;
mod raw_request;
mod received_request;
mod replica;
mod replica_answer;
mod replica_answering;
mod replica_entry;
mod replica_run;
mod replica_serving;
mod replica_state;
mod route_text;
mod run_guard;
mod store;
mod store_mode;
mod store_port;

pub use {
    client::{Client, ClientRequest},
    client_answer::ClientAnswer,
    config_text::ConfigText,
    direct_fleet::{DirectFleet, zone_name},
    forwarding_fleet::{forwarding_fleet, forwarding_fleet_with},
    piece::{Piece, pieces},
    raw_request::RawRequest,
    received_request::ReceivedRequest,
    replica::Replica,
    replica_answer::{Framing, ReplicaAnswer},
    replica_answering::{CrashTiming, event, event_of_version},
    replica_entry::ReplicaEntry,
    replica_run::ReplicaRun,
    route_text::RouteText,
    store::{LostWrite, Store},
    store_mode::StoreMode,
    store_port::StorePort,
};
