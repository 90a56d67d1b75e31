use {
    super::{caller_socket::set_long_body, connection_use::ConnectionUse},
    std::{
        io,
        mem::MaybeUninit,
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, ReadBuf},
        net::TcpStream,
    },
};

/// Bytes that are read at once. hyper doubles the buffer of a connection whose reads fill it, up to
/// its limit on heads: one byte less than its smallest buffer.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// Reads a caller's connection in pieces that keep the reader's buffer small, and records them.
#[derive(Default)]
pub struct BoundedRead {
    is_long_body: bool, // the kernel keeps more unread bytes than usual
}

/// What was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadBytes {
    /// None if the caller closed the connection.
    pub count: usize,
    /// Whether they are of a request's head.
    pub is_head: bool,
}

impl BoundedRead {
    /// Reads what has come into `buffer`.
    pub fn poll(
        &mut self,
        stream: &mut TcpStream,
        connection: &ConnectionUse,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<ReadBytes>> {
        let mut piece = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let mut piece = ReadBuf::uninit(&mut piece[..buffer.remaining().min(MAX_READ_BYTES)]);
        ready!(Pin::new(&mut *stream).poll_read(context, &mut piece))?;
        buffer.put_slice(piece.filled());
        let count = piece.filled().len();
        let is_head = count > 0 && connection.record_read(count, buffer.remaining());
        if !self.is_long_body && connection.is_long_body_due() {
            self.set_long_body(stream, connection, true);
        }
        Poll::Ready(Ok(ReadBytes { count, is_head }))
    }

    /// Lets the kernel keep as many unread bytes as usual after a long body. Called once what was
    /// to be written has been.
    pub fn end_long_body(
        &mut self,
        stream: &TcpStream,
        connection: &ConnectionUse,
    ) {
        if self.is_long_body && !connection.is_body_due() {
            self.set_long_body(stream, connection, false);
        }
    }

    fn set_long_body(
        &mut self,
        stream: &TcpStream,
        connection: &ConnectionUse,
        is_long: bool,
    ) {
        self.is_long_body = is_long;
        set_long_body(stream, is_long);
        connection.record_long_body(is_long);
    }
}
