use {
    super::{
        answer_buffer::AnswerBuffer, connection_activity::ConnectionActivity, sockets::unread_bytes,
    },
    crate::callers::CallerIo,
    bytes::{Buf, Bytes},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A caller's connection that reports the bytes written to it, and when all were, to the answer
/// buffer, and what is read and written to the connection's activity.
pub struct CallerStream {
    stream: CallerIo,
    unread: Bytes, // read from the stream, and to be read again
    answer: Arc<AnswerBuffer>,
    activity: Arc<ConnectionActivity>,
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.answer.must_reset()
            && let Err(error) = self.stream.socket().set_zero_linger()
        {
            log::warn!("a cut answer is not reset: {error}");
        }
        self.activity
            .record_unread(unread_bytes(self.stream.socket()) as usize);
    }
}

impl CallerStream {
    /// Reports bytes written to `stream` to `answer`, and all transfers to `activity`.
    pub fn new(
        stream: TcpStream,
        answer: Arc<AnswerBuffer>,
        activity: Arc<ConnectionActivity>,
    ) -> Self {
        Self {
            stream: CallerIo::new(stream, activity.connection().clone()),
            unread: Bytes::new(),
            answer,
            activity,
        }
    }

    /// Makes bytes that were read from the stream be read again before all others.
    pub fn unread(
        &mut self,
        bytes: Bytes,
    ) {
        self.unread = bytes;
    }

    /// Whether bytes can be read now.
    pub fn has_bytes(&self) -> bool {
        !self.unread.is_empty() || unread_bytes(self.stream.socket()) > 0
    }

    fn record(
        &self,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(bytes)) => {
                self.answer.record_written(*bytes);
                self.activity.record_written();
            }
            Poll::Ready(Err(_)) => self.activity.record_failure(),
            Poll::Pending => {}
        }
        written
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.unread.is_empty() {
            let length = self.unread.len().min(buffer.remaining());
            buffer.put_slice(&self.unread[..length]);
            self.unread.advance(length);
            let connection = self.activity.connection();
            connection.record_read(length, buffer.remaining());
            self.activity.record_read(length);
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        match &read {
            Poll::Ready(Ok(())) => self.activity.record_read(buffer.filled().len() - before),
            Poll::Ready(Err(_)) => self.activity.record_failure(),
            Poll::Pending => {}
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        // The connection is flushed once the buffer of its writer is empty.
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if let Poll::Ready(Ok(())) = &flushed {
            self.answer.record_flushed();
            self.activity.record_flushed();
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
