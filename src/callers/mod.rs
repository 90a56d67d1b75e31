//! What the connections of callers take of a process's memory and file descriptors, in both forms
//! of the router. When they take more than they may, those that wait for their caller are closed.

mod bounded_read;
mod caller_slot;
mod caller_socket;
mod connection_use;
mod held_bytes;
mod ledger;
mod ledger_log;
mod request_body;

pub use {
    bounded_read::{BoundedRead, ReadBytes},
    caller_slot::CallerSlot,
    caller_socket::bind_callers,
    connection_use::{BodyFraming, BodyProgress, ConnectionUse},
    held_bytes::HeldBytes,
    ledger::{CallerLedger, descriptor_limit},
    request_body::{BodyCollector, RequestBody, RequestBodyReader},
};
