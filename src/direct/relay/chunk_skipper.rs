use {
    super::{malformed_message::MalformedMessage, text_collector::TextCollector},
    httparse::{Status, parse_chunk_size},
};

/// Finds the end of a body in chunks.
pub struct ChunkSkipper {
    line: TextCollector,
    part: Part,
}

/// The part of a body that comes next.
enum Part {
    Size,
    Data { left: u64 },
    DataEnd,
    Trailer,
}

impl ChunkSkipper {
    /// Starts before the first chunk.
    pub fn new() -> Self {
        Self {
            line: TextCollector::line(),
            part: Part::Size,
        }
    }

    /// Takes the next bytes. Returns how many of them belong to the body if it ends in them.
    pub fn advance(
        &mut self,
        bytes: &[u8],
    ) -> Result<Option<usize>, MalformedMessage> {
        let mut at = 0;
        while at < bytes.len() {
            let rest = &bytes[at..];
            if let Part::Data { left } = &mut self.part {
                let count = rest.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                at += count;
                *left -= count as u64;
                if *left == 0 {
                    self.part = Part::DataEnd;
                }
                continue;
            }
            let part = &self.part;
            let read = |line: &[u8]| next_part(part, line);
            let Some((count, next)) = self.line.advance(rest, read)? else {
                return Ok(None);
            };
            at += count;
            match next {
                Some(next) => self.part = next,
                None => return Ok(Some(at)),
            }
        }
        Ok(None)
    }
}

/// The part that follows a line, none at the end of the body.
fn next_part(
    part: &Part,
    line: &[u8],
) -> Result<Option<Part>, MalformedMessage> {
    let is_blank = line == b"\r\n";
    match part {
        Part::Size if is_blank => Err(MalformedMessage),
        Part::Size => match parse_chunk_size(line) {
            Ok(Status::Complete((_, 0))) => Ok(Some(Part::Trailer)),
            Ok(Status::Complete((_, left))) => Ok(Some(Part::Data { left })),
            _ => Err(MalformedMessage),
        },
        Part::DataEnd if is_blank => Ok(Some(Part::Size)),
        Part::Data { .. } | Part::DataEnd => Err(MalformedMessage),
        Part::Trailer if is_blank => Ok(None),
        Part::Trailer => Ok(Some(Part::Trailer)),
    }
}
