//! Load generation: backlogged accounts and replayed traces, and the fairness measured
//! under them.

mod backlog;
mod cost;
mod gap_meter;
mod replay;
mod sample;
mod trace;

pub use {
    backlog::{Backlog, BacklogResult},
    cost::token_cost,
    gap_meter::GapMeter,
    replay::{ClassResult, ReplayResult, replay},
    sample::{GapSample, Sampler},
    trace::{COLUMNS, TraceError, TraceRow, TraceSource, make_trace, read_trace},
};
