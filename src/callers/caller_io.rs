use {
    super::{caller_socket::set_long_body, connection_use::ConnectionUse},
    std::{
        io::{self, IoSlice},
        mem::MaybeUninit,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Bytes that are read at once. hyper doubles the buffer of a connection whose reads fill it, up to
/// its limit on heads: one byte less than its smallest buffer.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// A caller's connection that is read in pieces, which keep the reader's buffer small, and whose use
/// is recorded.
pub struct CallerIo {
    stream: TcpStream,
    connection: Arc<ConnectionUse>,
}

impl CallerIo {
    /// Records what is read from `stream` in `connection`.
    pub fn new(
        stream: TcpStream,
        connection: Arc<ConnectionUse>,
    ) -> Self {
        Self { stream, connection }
    }

    /// The connection's socket.
    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// What the connection is used for.
    pub fn connection(&self) -> &ConnectionUse {
        &self.connection
    }

    /// Lets the kernel keep more unread bytes for a long body, or as many as usual.
    fn set_long_body(
        &self,
        is_long: bool,
    ) {
        set_long_body(&self.stream, is_long);
        self.connection.record_long_body(is_long);
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut piece = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let mut piece = ReadBuf::uninit(&mut piece[..buffer.remaining().min(MAX_READ_BYTES)]);
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut piece))?;
        buffer.put_slice(piece.filled());
        if !piece.filled().is_empty() {
            self.connection
                .record_read(piece.filled().len(), buffer.remaining());
        }
        if !self.connection.is_long_body() && self.connection.is_long_body_due() {
            self.set_long_body(true);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        let has_ended = self.connection.is_long_body() && !self.connection.is_body_due();
        if flushed.is_ready() && has_ended {
            self.set_long_body(false);
        }
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
