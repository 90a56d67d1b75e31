//! What callers' connections are in the middle of, and which are closed when a process runs out of
//! memory or descriptors for them.

mod connection_load;
mod eviction;
mod phase;
mod usage;

pub use {
    connection_load::ConnectionLoad,
    eviction::{choose_evicted, eviction_class},
    phase::Phase,
    usage::Usage,
};
