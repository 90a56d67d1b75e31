//! What passes on a connection that is relayed to a neighbour, by the framing of its messages, and
//! the writer of its caller's side.

mod answer_end;
mod answer_head;
mod body_framing;
mod body_skipper;
mod caller_writer;
mod chunk_skipper;
mod close_cause;
mod exchange_follower;
mod malformed_message;
mod own_answer;
mod progress;
mod relay_buffer;
mod request_head;
mod step;
mod text_collector;

pub use {answer_end::AnswerEnd, exchange_follower::ExchangeFollower, progress::Progress};
pub(super) use {
    caller_writer::CallerWriter, close_cause::CloseCause, relay_buffer::RelayBuffer, step::Step,
};
