use {
    super::answer_buffer::AnswerBuffer,
    hyper::rt::{Read, ReadBufCursor, Write},
    hyper_util::rt::TokioIo,
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
    tokio::net::TcpStream,
};

/// A caller's connection that reports the bytes written to it, and when all were, to the answer
/// buffer.
pub struct CallerStream {
    stream: TokioIo<TcpStream>,
    answer: Arc<AnswerBuffer>,
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.answer.must_reset()
            && let Err(error) = self.stream.inner().set_zero_linger()
        {
            log::warn!("a cut answer is not reset: {error}");
        }
    }
}

impl CallerStream {
    /// Reports bytes written to `stream` to `answer`.
    pub fn new(
        stream: TcpStream,
        answer: Arc<AnswerBuffer>,
    ) -> Self {
        Self {
            stream: TokioIo::new(stream),
            answer,
        }
    }

    fn record(
        &self,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            self.answer.record_written(*bytes);
        }
        written
    }
}

impl Read for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for CallerStream {
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
