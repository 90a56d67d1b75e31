use super::{
    body_framing::BodyFraming, chunk_skipper::ChunkSkipper, malformed_message::MalformedMessage,
};

/// Finds the end of a body that is not empty.
pub enum BodySkipper {
    Length { left: u64 },
    Chunks(ChunkSkipper),
    Close,
}

impl BodySkipper {
    /// Starts before a body; none if it has no bytes.
    pub fn new(framing: BodyFraming) -> Option<Self> {
        match framing {
            BodyFraming::Length(0) => None,
            BodyFraming::Length(left) => Some(Self::Length { left }),
            BodyFraming::Chunks => Some(Self::Chunks(ChunkSkipper::new())),
            BodyFraming::Close => Some(Self::Close),
        }
    }

    /// Takes the next bytes. Returns how many of them belong to the body if it ends in them.
    pub fn advance(
        &mut self,
        bytes: &[u8],
    ) -> Result<Option<usize>, MalformedMessage> {
        match self {
            Self::Length { left } => {
                let count = bytes
                    .len()
                    .min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= count as u64;
                Ok((*left == 0).then_some(count))
            }
            Self::Chunks(chunks) => chunks.advance(bytes),
            Self::Close => Ok(None),
        }
    }
}
