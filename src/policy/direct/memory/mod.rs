//! Memory that a router holds for callers and replicas that read or send slowly: the limit for
//! each request or answer, and when an answer over its limit is aborted.

mod memory_budget;
mod unread_answer;

pub use {memory_budget::MemoryBudget, unread_answer::must_abort_answer};
