/// Whether a `Content-Type` value names a stream of server-sent events.
pub fn is_event_stream(content_type: &[u8]) -> bool {
    let media_type = content_type.split(|byte| *byte == b';').next();
    media_type.is_some_and(|name| name.trim_ascii().eq_ignore_ascii_case(b"text/event-stream"))
}
