/// Tracks whether the bytes of a stream of server-sent events end inside an event, holding none of
/// them.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventEnd {
    has_field: bool,  // the event has a line that is no comment
    is_in_line: bool, // the last line has bytes
    is_comment: bool, // the last line is a comment
    after_carriage_return: bool,
}

impl EventEnd {
    /// Takes account of the next bytes.
    pub fn push(
        &mut self,
        bytes: &[u8],
    ) {
        for byte in bytes {
            let is_second_of_pair = *byte == b'\n' && self.after_carriage_return;
            self.after_carriage_return = *byte == b'\r';
            match byte {
                _ if is_second_of_pair => {}
                b'\n' | b'\r' => self.end_line(),
                _ if self.is_in_line => {}
                first => {
                    self.is_in_line = true;
                    self.is_comment = *first == b':';
                }
            }
        }
    }

    /// Whether the bytes so far end inside an event or a line.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.is_in_line
    }

    fn end_line(&mut self) {
        self.has_field = self.is_in_line && (self.has_field || !self.is_comment);
        self.is_in_line = false;
    }
}
