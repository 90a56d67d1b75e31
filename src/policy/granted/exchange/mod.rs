//! The exchange of one request between router and sidecar: attempts, retries, and execution at most
//! once.

mod attempts;
mod finished;
mod idempotency_keys;
mod retry_budget;
mod router_exchange;
mod sidecar_exchange;

pub use {
    attempts::Attempts,
    finished::Finished,
    idempotency_keys::{IdempotencyKeys, KeyStatus},
    retry_budget::RetryBudget,
    router_exchange::{AnswerEvent, RouterExchange},
    sidecar_exchange::SidecarExchange,
};
