//! Which hosts a process of the granted form works with, and which configuration it uses.

mod config_gate;
mod host_set;
mod membership;
mod sidecar_subset;

pub use {
    config_gate::{ConfigGate, Verdict},
    host_set::HostSet,
    membership::{Membership, PeerObservation},
    sidecar_subset::SidecarSubset,
};
