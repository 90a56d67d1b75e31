//! What routers and sidecars of the granted form have in common: identity, configuration in force,
//! host list, watches, membership; and the command line of all daemons.

mod background;
mod config_store;
mod hangup;
mod host_store;
mod node;
mod peer_config;
mod readiness;
mod start;
mod watches;

pub use {
    background::{confirm_readiness, start_watches, stop_signal},
    config_store::ConfigStore,
    hangup::ignore_hangups,
    host_store::HostStore,
    node::Node,
    peer_config::{fetch_from_peer, serve_config},
    readiness::{PEERS_TO_CONFIRM, Readiness},
    start::{BLOCKING_THREADS, DIRECT_FLAG, StartError, run_process},
    watches::{watch_config, watch_hosts},
};
