//! The router that carries requests to the replicas itself: from a caller's
//! connection, by a route, to a replica that the board chooses, and back.

mod attempt;
mod attempt_end;
mod cache_ask;
mod cache_calls;
mod cache_survey;
mod call;
mod caller_body;
mod caller_connections;
mod caller_port;
mod caller_stream;
mod dialect;
mod end_checks;
mod event_splitter;
mod events_relay;
mod exchange;
mod exchange_choice;
mod exchange_end;
mod exchange_suspects;
mod gateway;
mod gateway_tasks;
mod hand_on;
mod held_bytes;
mod held_work;
mod kept_follow;
mod late_wait;
mod left_runs;
mod live_answer;
mod plain_relay;
mod processor_state;
mod processor_watch;
mod ready_port;
mod replica_call;
mod reply;
mod request_reader;
mod sent_run;
mod serve;
mod settings_watch;
mod sockets;
mod status;
mod store_duty;
mod store_reading;
mod stream_watch;
mod unanswered;
mod unsent_answer;
mod upstream_connection;
mod upstream_pool;

pub use {
    cache_calls::CacheCalls,
    dialect::{Dialect, HeaderNames},
    event_splitter::EventSplitter,
    exchange_suspects::log_held_back,
    gateway::Gateway,
    serve::main,
    store_reading::StoreReading,
    upstream_pool::UpstreamPool,
};
