//! Stand-ins for what archmast serves and needs, a fault-injecting proxy, a
//! harness that runs the product's real processes, trace replay and reports.

pub mod command;
pub mod direct;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod proxy;
pub mod report;
pub mod soak;
pub mod standin;
