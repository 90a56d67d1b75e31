//! The operators' command `archmastctl`, which is read-only.

mod audit;
mod check;
mod command;
mod errors;
mod explain;
mod fleet_reader;
mod held;
mod log_lines;
mod output;
mod shares;
mod status;
mod timeline;
mod trace;

pub use {command::main, errors::CtlError};
