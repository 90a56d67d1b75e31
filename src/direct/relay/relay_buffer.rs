use {
    super::step::Step,
    std::ops::Range,
    tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
};

/// Size of the relay buffer for each direction.
const BUFFER_BYTES: usize = 8 * 1024;

/// Bytes that were received on one connection and not sent on the other yet.
pub struct RelayBuffer {
    bytes: Vec<u8>,
    unsent: Range<usize>,
}

impl Default for RelayBuffer {
    fn default() -> Self {
        Self {
            bytes: vec![0; BUFFER_BYTES],
            unsent: 0..0,
        }
    }
}

impl RelayBuffer {
    /// The bytes that were not sent yet.
    pub fn unsent(&self) -> &[u8] {
        &self.bytes[self.unsent.clone()]
    }

    /// Discards unsent bytes after the first `count`.
    pub fn truncate(
        &mut self,
        count: usize,
    ) {
        self.unsent.end = self.unsent.end.min(self.unsent.start + count);
    }

    /// Sends what is left of the last bytes, or receives the next ones. Nothing is lost if the
    /// future is dropped.
    pub async fn advance(
        &mut self,
        source: &mut (impl AsyncRead + Unpin),
        target: &mut (impl AsyncWrite + Unpin),
    ) -> Step {
        if self.unsent.is_empty() {
            return match source.read(&mut self.bytes).await {
                Ok(0) => Step::SourceClosed,
                Ok(count) => {
                    self.unsent = 0..count;
                    Step::Received
                }
                Err(error) => {
                    log::debug!("connection that was handed on: {error}");
                    Step::SourceFailed
                }
            };
        }
        match target.write(&self.bytes[self.unsent.clone()]).await {
            Ok(0) => Step::TargetClosed,
            Ok(count) => {
                self.unsent.start += count;
                Step::Sent
            }
            Err(error) => {
                log::debug!("connection that was handed on: {error}");
                Step::TargetClosed
            }
        }
    }
}
