use {
    crate::callers::ReplyBody,
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// A body that keeps a guard until the HTTP server drops it, after it was sent or the caller
/// disconnected.
pub struct GuardedBody<G> {
    body: ReplyBody,
    _guard: G,
}

impl<G> GuardedBody<G> {
    /// Keeps `guard` as long as `body`.
    pub fn new(
        body: ReplyBody,
        guard: G,
    ) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<G: Unpin> Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
