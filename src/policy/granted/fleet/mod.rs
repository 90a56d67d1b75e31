//! Which hosts and which configuration a process of the granted form goes by.

mod config_gate;
mod host_set;
mod membership;
mod reach;

pub use {
    config_gate::{ConfigGate, Verdict},
    host_set::HostSet,
    membership::{Membership, Sighting},
    reach::Reach,
};
