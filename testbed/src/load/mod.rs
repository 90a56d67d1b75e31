//! Load: accounts that are always backlogged, and what they got.

mod backlog;
mod cost;
mod sample;

pub use {
    backlog::{Backlog, BacklogResult},
    cost::token_cost,
    sample::{GapSample, Sampler},
};
