//! Messages between the fleet's processes, and their codec.
//!
//! A frame is a length (four bytes, big-endian), a version byte, and one
//! message in postcard's encoding.

mod answer_frame;
mod codec;
mod config_bundle;
mod control_message;
mod envelope;
mod request_head;
mod stream_open;

pub use {
    answer_frame::AnswerFrame,
    codec::{MAX_FRAME, VERSION, decode_payload, encode_frame, encode_payload, read_frame},
    config_bundle::ConfigBundle,
    control_message::ControlMessage,
    envelope::Envelope,
    request_head::RequestHead,
    stream_open::StreamOpen,
};
