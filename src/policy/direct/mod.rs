//! Decisions of the direct form, in which routers send requests to replicas themselves.

pub mod memory;
pub mod placement;
mod processor;
mod reporter;
pub mod shares;
pub mod slow_start;
pub mod streams;
pub mod suspects;

pub use {
    processor::*,
    reporter::{Reporter, ReporterScope},
};
