//! Crowds of clients that do not keep to the limits, and what a process takes of its host
//! meanwhile.

mod crowd;
mod growth;
mod host_meter;
mod shape;

pub use {crowd::Crowd, growth::Growth, host_meter::HostMeter, shape::Shape};
