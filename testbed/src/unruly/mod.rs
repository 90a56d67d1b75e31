//! Crowds of clients that do not keep to the limits, and what a process takes of its host
//! meanwhile.

mod counted_bytes;
mod crowd;
mod host_meter;
mod shape;

pub use {counted_bytes::counted_bytes, crowd::Crowd, host_meter::HostMeter, shape::Shape};
