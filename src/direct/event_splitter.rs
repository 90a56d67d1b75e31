use bytes::{Bytes, BytesMut};

/// Cuts a stream into whole events, so that a caller never gets a part of one
/// from a replica that breaks off.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    searched: usize, // bytes of the rest that hold no end
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes bytes in and gives the events that are whole now, in one piece.
    pub fn push(
        &mut self,
        bytes: &[u8],
    ) -> Option<Bytes> {
        self.rest.extend_from_slice(bytes);
        let end = self.last_end()?;
        let events = self.rest.split_to(end).freeze();
        self.searched = 0;
        self.note_ids(&events);
        Some(events)
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// What came after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.rest.split().freeze()
    }

    /// Forgets a part of an event, since another replica goes on.
    pub fn drop_rest(&mut self) {
        self.rest.clear();
        self.searched = 0;
    }

    /// The end of the last whole event in what is there.
    fn last_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let fresh = &self.rest[from..];
        let mut found = None;
        for index in 0..fresh.len() {
            let tail = &fresh[..=index];
            if tail.ends_with(b"\n\n") || tail.ends_with(b"\n\r\n") {
                found = Some(from + index + 1);
            }
        }
        self.searched = self.rest.len();
        found
    }

    fn note_ids(
        &mut self,
        events: &[u8],
    ) {
        let lines = events.split(|byte| *byte == b'\n');
        let id = lines
            .filter_map(|line| line.strip_prefix(b"id:"))
            .next_back()
            .and_then(|id| std::str::from_utf8(id).ok());
        if let Some(id) = id {
            self.last_id = Some(id.trim().to_owned());
        }
    }
}
