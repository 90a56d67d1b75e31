//! The direct form of the router: accepts callers' connections, sends each request to a
//! replica chosen by the placement policy, and relays the answer.

mod abandoned_attempts;
mod account_log;
mod answer_buffer;
mod attempt;
mod attempt_end;
mod cache_follow;
mod cache_protocol;
mod cache_survey;
mod call;
mod call_origin;
mod caller_body;
mod caller_connection;
mod caller_connections;
mod caller_port;
mod caller_stream;
mod close_log;
mod close_reason;
mod connection_activity;
mod dialect;
mod event_assembler;
mod event_end;
mod event_splitter;
mod events_relay;
mod exchange;
mod exchange_choice;
mod exchange_end;
mod exchange_suspects;
mod exit_checks;
mod forwarding_log;
mod gateway;
mod gateway_tasks;
mod head_limit_stream;
mod idle_limit;
mod in_flight_guard;
mod late_bytes;
mod live_answer;
mod neighbour_checks;
mod neighbour_connection;
mod neighbour_probe;
mod neighbour_relay;
mod plain_relay;
mod probe_outcome;
mod processor_state;
mod processor_watch;
mod ready_port;
mod refused_body;
mod relay;
mod replica_call;
mod replica_query;
mod reply;
mod request_reader;
mod sent_attempt;
mod serve;
mod settings_watch;
mod silent_attempt;
mod sockets;
mod start_check;
mod status;
mod store_read_state;
mod stream_version;
mod stream_watch;
mod successor;
mod timeout_unless_ready;
mod unanswered;
mod uploads;
mod upstream_connection;
mod upstream_pool;
mod wait_while_alive;
mod whole_answer;
mod zone_reader_role;

pub use {
    cache_protocol::CacheProtocol,
    dialect::{Dialect, HeaderNames},
    event_end::EventEnd,
    event_splitter::EventSplitter,
    exchange_suspects::log_held_back,
    gateway::Gateway,
    idle_limit::IdleLimit,
    neighbour_relay::NeighbourRelay,
    relay::{AnswerEnd, ExchangeFollower, Progress},
    serve::main,
    store_read_state::StoreReadState,
    upstream_pool::UpstreamPool,
};
