//! A fleet of routers between HTTP callers and replicated upstreams that shares the upstreams'
//! capacity fairly between client accounts.
//!
//! There are two forms. In the *direct* form ([`direct`], [`peers`], [`catalog`], [`routing`],
//! [`platform`]) routers send requests to the replicas themselves. In the *granted* form
//! ([`router`], [`sidecar`], [`link`], [`wire`], [`node`], [`directory`]) a sidecar beside each
//! upstream grants its capacity to requests that wait at routers.
//!
//! Both count what their callers' connections take of a host in [`callers`].
//!
//! All decisions are made in [`policy`] and [`fleet`], which do no I/O and take time and randomness
//! as arguments. The other modules do the I/O around them.

pub mod callers;
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
