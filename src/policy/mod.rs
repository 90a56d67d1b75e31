//! Decision logic: request order, fair shares, demand, grants, totals, membership, and execution
//! at most once.
//!
//! Nothing in here does I/O, reads a clock, draws a random number or locks. `direct` serves
//! routers that send requests to replicas themselves; `granted` serves routers and sidecars,
//! where sidecars grant their upstream's capacity. The other modules serve both.

mod clock;
mod direct;
mod granted;
mod notices;
mod rendezvous;
mod short_name;

pub use {
    clock::*,
    direct::*,
    granted::*,
    notices::*,
    rendezvous::rendezvous,
    short_name::{mix, short_name, stable_hash},
};
