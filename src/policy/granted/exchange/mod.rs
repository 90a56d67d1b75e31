//! The exchange of one request between router and sidecar: attempts, retries, and execution at most
//! once.

mod attempts;
mod finished;
mod key_memory;
mod retry_budget;
mod router_exchange;
mod sidecar_exchange;

pub use {
    attempts::Attempts,
    finished::Finished,
    key_memory::{KeyMemory, KeyVerdict},
    retry_budget::RetryBudget,
    router_exchange::{AnswerEvent, RouterExchange},
    sidecar_exchange::SidecarExchange,
};
