//! Decisions of the direct form, in which routers send requests to replicas themselves.

pub mod memory;
pub mod placement;
mod processor;
pub mod shares;
pub mod slow_start;
pub mod suspects;
mod teller;

pub use {
    processor::*,
    teller::{Teller, TellerScope},
};
