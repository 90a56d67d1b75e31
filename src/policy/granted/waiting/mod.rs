//! The queues in which requests wait at a router until a sidecar grants one of them.

mod account_queue;
mod drain_rate;
mod prefix_memory;
mod request_queue;
mod waiting_request;

pub use {
    account_queue::AccountQueue,
    drain_rate::DrainRate,
    prefix_memory::{PrefixHash, PrefixMemory},
    request_queue::{QueueBounds, RequestQueue, ShedRequest},
    waiting_request::WaitingRequest,
};
