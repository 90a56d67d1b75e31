use {
    crate::codes::ErrorAnswer,
    std::io,
    tokio::{io::AsyncWriteExt, net::tcp::WriteHalf},
};

/// The right to answer a caller in place of the neighbour. Only [`super::CallerWriter`] gives it,
/// and only where a request waits for an answer of which nothing was written.
pub struct OwnAnswer<'c> {
    caller: WriteHalf<'c>,
}

impl<'c> OwnAnswer<'c> {
    pub(super) fn new(caller: WriteHalf<'c>) -> Self {
        Self { caller }
    }

    /// Sends an error answer, after which the connection is to be closed.
    pub async fn send(
        mut self,
        error: &ErrorAnswer,
    ) -> io::Result<()> {
        let body = error.to_json("");
        let text = format!(
            "HTTP/1.1 {} Bad Gateway\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
            error.status(),
            body.len(),
        );
        self.caller.write_all(text.as_bytes()).await
    }
}
