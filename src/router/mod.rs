//! The process on an entry host: takes callers' requests, holds them per client
//! account, and sends each to the sidecar that grants it capacity.

mod announcer;
mod answer_body;
mod answer_reader;
mod attempt;
mod caller_port;
mod caller_request;
mod classify;
mod held_body;
mod housekeeping;
mod link_events;
mod offers;
mod request_flow;
mod router;
mod serve;
mod sidecar_view;
mod status;
mod turn;
mod waiting_table;

pub use {router::Router, serve::main};
