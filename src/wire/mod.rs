//! Messages between the processes of the fleet, and their encoding.
//!
//! A frame consists of a length prefix (four bytes, big-endian, counting what follows), a
//! version byte, and one message encoded by postcard.

mod answer_frame;
mod codec;
mod config_frame;
mod control_message;
mod envelope;
mod media_type;
mod request_head;
mod stream_open;

pub use {
    answer_frame::AnswerFrame,
    codec::{
        MAX_FRAME_BYTES, PROTOCOL_VERSION, decode_payload, encode_frame, encode_payload, read_frame,
    },
    config_frame::ConfigFrame,
    control_message::ControlMessage,
    envelope::Envelope,
    media_type::is_event_stream,
    request_head::RequestHead,
    stream_open::StreamOpen,
};
