use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    std::io,
};

/// The body of an answer to a caller. An error closes the connection, so that a truncated
/// answer never looks complete.
pub type ReplyBody = UnsyncBoxBody<Bytes, io::Error>;

/// A body whose bytes are all available.
pub fn full_body(bytes: Bytes) -> ReplyBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
