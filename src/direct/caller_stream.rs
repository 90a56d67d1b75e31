use {
    super::{
        answer_buffer::AnswerBuffer, connection_activity::ConnectionActivity, sockets::unread_bytes,
    },
    crate::callers::{BoundedRead, ReadBytes},
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
    stream: TcpStream,
    unread: Bytes, // read from the stream, and to be read again
    bounded: BoundedRead,
    answer: Arc<AnswerBuffer>,
    activity: Arc<ConnectionActivity>,
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.answer.must_reset()
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::warn!("a cut answer is not reset: {error}");
        }
        self.activity
            .record_unread(unread_bytes(&self.stream) as usize);
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
            stream,
            unread: Bytes::new(),
            bounded: BoundedRead::default(),
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
        !self.unread.is_empty() || unread_bytes(&self.stream) > 0
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
        let this = &mut *self;
        let connection = this.activity.connection();
        if !this.unread.is_empty() {
            let count = this.unread.len().min(buffer.remaining());
            buffer.put_slice(&this.unread[..count]);
            this.unread.advance(count);
            let is_head = connection.record_read(count, buffer.remaining());
            this.activity.record_read(ReadBytes { count, is_head });
            return Poll::Ready(Ok(()));
        }
        let read = this
            .bounded
            .poll(&mut this.stream, connection, context, buffer);
        read.map(|read| match read {
            Ok(read) => {
                this.activity.record_read(read);
                Ok(())
            }
            Err(error) => {
                this.activity.record_failure();
                Err(error)
            }
        })
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
            let this = &mut *self;
            let connection = this.activity.connection();
            this.bounded.end_long_body(&this.stream, connection);
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
