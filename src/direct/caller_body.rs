use {
    super::{answer_buffer::AnswerBuffer, reply::ReplyBody},
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
pub struct CallerBody(Arc<AnswerBuffer>);

impl CallerBody {
    /// Starts the connection's next answer.
    pub fn new(
        buffer: Arc<AnswerBuffer>,
        body: ReplyBody,
    ) -> Self {
        buffer.start(body);
        Self(buffer)
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        self.0.clear();
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.0.poll_piece(context)
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_finished()
    }

    fn size_hint(&self) -> SizeHint {
        self.0.size()
    }
}
