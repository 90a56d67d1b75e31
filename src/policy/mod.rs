//! Decisions: order, shares, demand, grants, totals, membership, at most once.
//!
//! Nothing in here does I/O, reads a clock, draws a random number or locks. What both
//! forms of the product decide by stands beside the rooms of the granted and the direct
//! form.

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
