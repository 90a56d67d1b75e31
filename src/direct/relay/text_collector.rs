use super::malformed_message::MalformedMessage;

/// Limit on a message head, above what routers accept.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// Limit on the line before a chunk, or in a trailer.
const MAX_LINE_BYTES: usize = 16 << 10;

/// Collects a line, or a message head, whose bytes arrive in parts.
pub struct TextCollector {
    bytes: Vec<u8>, // of earlier parts
    is_head: bool,
    is_line_blank: bool, // as far as the current line was received
}

impl TextCollector {
    /// Collects lines up to a blank one.
    pub fn head() -> Self {
        Self {
            bytes: Vec::new(),
            is_head: true,
            is_line_blank: true,
        }
    }

    /// Collects one line.
    pub fn line() -> Self {
        Self {
            is_head: false,
            ..Self::head()
        }
    }

    /// Whether no byte was received.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes bytes up to the end of the text, which it passes to `read`. Returns how many these
    /// were, and what was read; none if the text does not end in `bytes`.
    pub fn advance<T>(
        &mut self,
        bytes: &[u8],
        read: impl FnOnce(&[u8]) -> Result<T, MalformedMessage>,
    ) -> Result<Option<(usize, T)>, MalformedMessage> {
        let end = self.find_end(bytes);
        let max = if self.is_head {
            MAX_HEAD_BYTES
        } else {
            MAX_LINE_BYTES
        };
        if self.bytes.len() + end.unwrap_or(bytes.len()) > max {
            return Err(MalformedMessage);
        }
        let Some(end) = end else {
            self.bytes.extend_from_slice(bytes);
            return Ok(None);
        };
        if self.bytes.is_empty() {
            return Ok(Some((end, read(&bytes[..end])?)));
        }
        let mut text = std::mem::take(&mut self.bytes);
        text.extend_from_slice(&bytes[..end]);
        Ok(Some((end, read(&text)?)))
    }

    fn find_end(
        &mut self,
        bytes: &[u8],
    ) -> Option<usize> {
        let mut start = 0;
        for (at, _) in bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
            let is_blank = self.is_line_blank && is_blank(&bytes[start..at]);
            start = at + 1;
            self.is_line_blank = true;
            if is_blank || !self.is_head {
                return Some(start);
            }
        }
        self.is_line_blank &= is_blank(&bytes[start..]);
        None
    }
}

fn is_blank(line: &[u8]) -> bool {
    line.iter().all(|byte| *byte == b'\r')
}
