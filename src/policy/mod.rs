//! Decision logic: request order, fair shares, demand, grants, totals, membership, and execution
//! at most once.
//!
//! Nothing in here does I/O, reads a clock, draws a random number or locks. `direct` serves
//! routers that send requests to replicas themselves; `granted` serves routers and sidecars,
//! where sidecars grant their upstream's capacity. The other modules serve both.

pub mod callers;
mod clock;
mod direct;
mod granted;
mod name_hash;
mod notices;
mod rendezvous;

pub use {
    clock::*,
    direct::*,
    granted::*,
    name_hash::{mix_hashes, name_hash, stable_hash},
    notices::*,
    rendezvous::rendezvous,
};
