//! A router fleet that shares upstream capacity fairly between client accounts.
//!
//! The logic that decides anything lives in [`fleet`] and [`policy`] and takes
//! time and randomness as arguments. Everything else is a thin shell around it.

pub mod catalog;
pub mod codes;
pub mod conf;
pub mod ctl;
pub mod direct;
pub mod directory;
pub mod fleet;
pub mod keys;
pub mod link;
pub mod node;
pub mod ops;
pub mod peers;
pub mod platform;
pub mod policy;
pub mod router;
pub mod routing;
pub mod sidecar;
pub mod wire;
