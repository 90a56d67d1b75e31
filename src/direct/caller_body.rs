use {
    super::{reply::ReplyBody, unsent_answer::UnsentAnswer},
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// The body of the answer under way on a caller's connection, as that connection sends it.
pub struct CallerBody(Arc<UnsentAnswer>);

impl CallerBody {
    /// The connection's next answer.
    pub fn new(
        connection: Arc<UnsentAnswer>,
        body: ReplyBody,
    ) -> Self {
        connection.begin(body);
        Self(connection)
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        self.0.end();
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
        self.0.is_read()
    }

    fn size_hint(&self) -> SizeHint {
        self.0.size()
    }
}
