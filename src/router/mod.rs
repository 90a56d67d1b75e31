//! The router process: accepts callers' HTTP requests, queues them per client account,
//! and sends each to a sidecar that grants it capacity or has a free slot.

mod announce_demand;
mod answer_body;
mod answer_reader;
mod body_reader;
mod caller_port;
mod caller_request;
mod caller_server;
mod choose_offer_host;
mod classify;
mod event_buffer;
mod guarded_body;
mod housekeeping;
mod link_events;
mod reply;
mod request_flow;
mod router;
mod send_request;
mod serve;
mod sidecar_view;
mod status;
mod wait_outcome;
mod waiting_table;

pub use {event_buffer::EventBuffer, router::Router, serve::main};
