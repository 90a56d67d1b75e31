//! The queues in which requests wait at a router until a sidecar grants one of them.

mod account_queue;
mod drain_rate;
mod prefix_memory;
mod waiting_request;
mod waiting_room;

pub use {
    account_queue::AccountQueue,
    drain_rate::DrainRate,
    prefix_memory::{PrefixHash, PrefixMemory},
    waiting_request::WaitingRequest,
    waiting_room::{Shed, WaitingBounds, WaitingRoom},
};
