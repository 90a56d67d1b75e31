/// Whether a stream of events is incomplete if it ends with these bytes, all those after its
/// last complete event. Blank lines and comments are part of no event.
pub fn ends_inside_event(mut rest: &[u8]) -> bool {
    let mut has_field = false;
    while let Some(end) = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r')) {
        let (line, after) = rest.split_at(end);
        rest = after.strip_prefix(b"\r\n").unwrap_or(&after[1..]);
        has_field = match line.first() {
            None => false,
            Some(b':') => has_field,
            Some(_) => true,
        };
    }
    has_field || !rest.is_empty()
}
