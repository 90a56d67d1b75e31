//! What a router holds for callers and replicas that are slow to read or to send: how much
//! one of them may take, and when one that takes too much is given up.

mod memory_budget;
mod unread_answer;

pub use {memory_budget::MemoryBudget, unread_answer::is_given_up};
