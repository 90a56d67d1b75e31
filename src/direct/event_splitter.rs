use bytes::{Bytes, BytesMut};

/// The end of a line and a blank line, of which an event's end consists.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];

/// The longest event id by which a stream is resumed: ids are sent in a header and logged.
const MAX_ID_BYTES: usize = 256;

/// Splits a stream of server-sent events into whole events, so that a caller never gets a
/// partial event from a replica that fails.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut, // bytes after the last whole event
    scanned: usize,    // bytes of `partial` that were searched for the end of an event
    last_id: Option<String>,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete now, concatenated.
    pub fn push(
        &mut self,
        bytes: &[u8],
    ) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = self.last_event_end()?;
        let events = self.partial.split_to(end).freeze();
        self.scanned = 0;
        self.record_last_id(&events);
        Some(events)
    }

    /// The id of the last whole event; `None` if it cannot be used to resume the stream.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether the bytes so far end inside an event: after the last whole one comes anything but
    /// blank lines and comments.
    pub fn is_inside_event(&self) -> bool {
        let mut lines: Vec<&[u8]> = self.partial[..].split(is_line_end).collect();
        let unended = lines.pop().unwrap_or_default();
        let is_ignored = |line: &&[u8]| line.is_empty() || line.starts_with(b":");
        !unended.is_empty() || !lines.iter().all(is_ignored)
    }

    /// The number of bytes after the last whole event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Takes the bytes after the last whole event.
    pub fn take_partial(&mut self) -> Bytes {
        self.scanned = 0;
        self.partial.split().freeze()
    }

    /// Discards the bytes after the last whole event, as another replica resumes the stream.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.scanned = 0;
    }

    /// The position after the last whole event in `partial`.
    fn last_event_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let unscanned = &self.partial[from..];
        let mut found = None;
        for index in 0..unscanned.len() {
            let tail = &unscanned[..=index];
            let ends_event = EVENT_ENDS.iter().any(|end| tail.ends_with(end));
            if ends_event {
                found = Some(from + index + 1);
            }
        }
        self.scanned = self.partial.len();
        found
    }

    fn record_last_id(
        &mut self,
        events: &[u8],
    ) {
        let lines = events.split(is_line_end);
        let id = lines
            .filter_map(|line| line.strip_prefix(b"id:"))
            .next_back()
            .and_then(|id| std::str::from_utf8(id).ok());
        if let Some(id) = id {
            // An empty id resets the last one, after which a stream cannot go on.
            let id = id.trim();
            let is_usable = (1..=MAX_ID_BYTES).contains(&id.len());
            self.last_id = is_usable.then(|| id.to_owned());
        }
    }
}

fn is_line_end(byte: &u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}
