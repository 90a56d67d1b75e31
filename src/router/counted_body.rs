use {
    super::router::OpenRequest,
    std::{
        io::{self, Cursor, SeekFrom},
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncSeek, ReadBuf},
};

/// A complete response body that keeps its request counted as open until the HTTP
/// server drops it, after it was sent or the caller disconnected.
pub struct CountedBody {
    body: Cursor<Vec<u8>>,
    _open_request: OpenRequest,
}

impl CountedBody {
    /// Wraps a body that is ready to be sent.
    pub fn new(
        body: Vec<u8>,
        open_request: OpenRequest,
    ) -> Self {
        Self {
            body: Cursor::new(body),
            _open_request: open_request,
        }
    }
}

impl AsyncRead for CountedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.body).poll_read(context, buffer)
    }
}

impl AsyncSeek for CountedBody {
    fn start_seek(
        mut self: Pin<&mut Self>,
        position: SeekFrom,
    ) -> io::Result<()> {
        Pin::new(&mut self.body).start_seek(position)
    }

    fn poll_complete(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<u64>> {
        Pin::new(&mut self.body).poll_complete(context)
    }
}
