use {
    super::router::HeldRequest,
    std::{
        io::{self, Cursor, SeekFrom},
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncSeek, ReadBuf},
};

/// A whole body that keeps its request counted as held until it has been read.
pub struct HeldBody {
    body: Cursor<Vec<u8>>,
    _held: HeldRequest,
}

impl HeldBody {
    /// A body to be sent.
    pub fn new(
        body: Vec<u8>,
        held: HeldRequest,
    ) -> Self {
        Self {
            body: Cursor::new(body),
            _held: held,
        }
    }
}

impl AsyncRead for HeldBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.body).poll_read(context, buffer)
    }
}

impl AsyncSeek for HeldBody {
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
