//! The testbed's command line.

mod demo;
mod ending;
mod fairness;
mod main;
mod measures;
mod soak;

pub use main::main;
