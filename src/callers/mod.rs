//! What the connections of callers take of a process's memory and file descriptors, in both forms
//! of the router. When they take more than they may, those that wait for their caller are closed.

mod accept;
mod caller_io;
mod caller_slot;
mod caller_socket;
mod connection_use;
mod held_bytes;
mod incoming_body;
mod ledger;
mod ledger_log;
mod reply_body;
mod request_body;

pub use {
    accept::accept_callers,
    caller_io::CallerIo,
    caller_slot::CallerSlot,
    caller_socket::bind_callers,
    connection_use::{BodyFraming, BodyProgress, ConnectionUse},
    held_bytes::HeldBytes,
    incoming_body::{BodyReading, discard_body},
    ledger::{CallerLedger, descriptor_limit},
    reply_body::{ReplyBody, full_body},
    request_body::{BodyCollector, RequestBody, RequestBodyReader},
};
