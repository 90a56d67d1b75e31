//! Memory that a router holds for callers and replicas that read or send slowly: the limit for
//! each request or answer, and when an answer over its limit is aborted.

mod memory_budget;
mod partial_event;
mod refused_upload;
mod unread_answer;

pub use {
    memory_budget::MemoryBudget,
    partial_event::{MAX_EVENT_BYTES, permits_partial_event},
    refused_upload::choose_refused_upload,
    unread_answer::{MAX_UNREAD_TIME, must_abort_answer},
};
