use {
    bytes::{Bytes, BytesMut},
    memchr::memchr2,
};

/// Holds back the bytes of an event in a stream of server-sent events until it is complete.
///
/// Comments and blank lines between two events are part of neither, and are not held back.
#[derive(Debug, Default)]
pub struct EventBuffer {
    held: BytesMut,
    scanned: usize,        // bytes of `held` that were searched for line ends
    line_start: usize,     // where the last line in `held` begins
    has_field: bool,       // the last event has a line that is no comment
    between_events: usize, // bytes of comments and blank lines since the last event
    after_carriage_return: bool,
}

impl EventBuffer {
    /// Appends bytes and returns those that are part of no incomplete event, if there are any.
    pub fn push(
        &mut self,
        bytes: &[u8],
    ) -> Option<Bytes> {
        self.held.extend_from_slice(bytes);
        let mut boundary = 0;
        while let Some(offset) = memchr2(b'\n', b'\r', &self.held[self.scanned..]) {
            let byte = self.held[self.scanned + offset];
            let is_second_of_pair = byte == b'\n' && offset == 0 && self.after_carriage_return;
            self.scanned += offset + 1;
            self.after_carriage_return = byte == b'\r';
            if !is_second_of_pair {
                self.end_line();
            }
            self.line_start = self.scanned;
            if !self.has_field {
                boundary = self.scanned;
            }
        }
        if self.scanned < self.held.len() {
            self.scanned = self.held.len();
            self.after_carriage_return = false;
        }
        self.scanned -= boundary;
        self.line_start -= boundary;
        (boundary > 0).then(|| self.held.split_to(boundary).freeze())
    }

    /// The number of bytes of comments and blank lines since the last event.
    pub fn bytes_between_events(&self) -> usize {
        self.between_events
    }

    /// The number of bytes that are held back.
    pub fn held_bytes(&self) -> usize {
        self.held.len()
    }

    /// Whether a stream that ends here ends inside an event, or inside a line.
    pub fn is_inside_event(&self) -> bool {
        !self.held.is_empty()
    }

    /// Takes account of the line whose end was scanned last.
    fn end_line(&mut self) {
        let was_inside_event = self.has_field;
        let line = &self.held[self.line_start..self.scanned - 1];
        self.has_field = match line.first() {
            None => false,
            Some(b':') => self.has_field,
            Some(_) => true,
        };
        if self.has_field {
            self.between_events = 0;
        } else if !was_inside_event {
            self.between_events += self.scanned - self.line_start;
        }
    }
}
