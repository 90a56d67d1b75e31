//! QUIC connections between the processes of the fleet, with mutual TLS authentication.

mod byte_counters;
mod connection;
mod dial_set;
mod dial_target;
mod link;
mod link_handler;
mod peer;
mod traffic_watch;

pub use {
    byte_counters::ByteCounters, dial_set::DialSet, dial_target::DialTarget, link::Link,
    link_handler::LinkHandler, peer::Peer,
};
