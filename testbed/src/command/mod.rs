//! The testbed's command line.

mod fairness;
mod main;

pub use main::main;
