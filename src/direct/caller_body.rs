use {
    super::{answer_buffer::AnswerBuffer, connection_activity::RequestGuard},
    crate::callers::ReplyBody,
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// The body of the answer that hyper writes to a caller's connection, read from that
/// connection's buffer.
pub struct CallerBody {
    buffer: Arc<AnswerBuffer>,
    _in_progress: RequestGuard,
}

impl CallerBody {
    /// Starts the connection's next answer. Its request is in progress until the end.
    pub fn new(
        buffer: Arc<AnswerBuffer>,
        body: ReplyBody,
        in_progress: RequestGuard,
    ) -> Self {
        buffer.start(body);
        Self {
            buffer,
            _in_progress: in_progress,
        }
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        self.buffer.clear();
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.buffer.poll_piece(context)
    }

    fn is_end_stream(&self) -> bool {
        self.buffer.is_finished()
    }

    fn size_hint(&self) -> SizeHint {
        self.buffer.size()
    }
}
