//! Stand-ins for the services around archmast, fault-injecting proxies, a
//! harness that runs the archmast programs, trace replay, measurements and reports.

pub mod command;
pub mod direct;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod proxy;
pub mod report;
pub mod soak;
pub mod standin;
pub mod unruly;
