use {
    crate::ops::OVERSIZED_HEADS,
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// The number of bytes that may be read from a connection until `end_head` or `begin_head` is called.
#[derive(Debug, Clone)]
pub struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// No limit.
    pub fn unlimited() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }

    /// Limits what is read until the head of the next answer has come, interim heads included.
    pub fn begin_head(
        &self,
        max_bytes: usize,
    ) {
        self.0.store(max_bytes, Ordering::Relaxed);
    }

    /// Ends the limit: the head has come.
    pub fn end_head(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts bytes read. Fails beyond the limit.
    fn count(
        &self,
        bytes: usize,
    ) -> io::Result<()> {
        // One step, so that the end of the limit in between is not undone.
        let counted = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                (left != usize::MAX).then(|| left.saturating_sub(bytes))
            });
        if counted.is_ok_and(|left| left < bytes) {
            metrics::counter!(OVERSIZED_HEADS).increment(1);
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "too many bytes before a head",
            ));
        }
        Ok(())
    }
}

/// A connection to a replica that bounds what is read before the head of an answer.
pub struct HeadLimitStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl HeadLimitStream {
    /// A connection without a limit yet.
    pub fn new(
        stream: TcpStream,
        limit: HeadLimit,
    ) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for HeadLimitStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.limit.count(buffer.filled().len() - before))
    }
}

impl AsyncWrite for HeadLimitStream {
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
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
