//! The testbed's command line.

mod demo;
mod fairness;
mod main;
mod measures;
mod slopes;

pub use main::main;
