//! The testbed's command line.

mod fairness;
mod main;
mod measures;

pub use main::main;
