use {
    super::{attempt_end::AttemptEnd, live_answer::LiveAnswer},
    bytes::Bytes,
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// An attempt at a replica that is silent, and may go on.
pub trait SilentAttempt {
    type Output;

    /// What the replica sends when it goes on, or how the attempt ends.
    fn poll_output(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Self::Output, AttemptEnd>>;

    /// Closes its connection, so that the replica stops working on the request.
    fn give_up(&mut self);
}

impl<T, F> SilentAttempt for Pin<&mut Option<F>>
where
    F: Future<Output = Result<T, AttemptEnd>>,
{
    type Output = T;

    fn poll_output(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<T, AttemptEnd>> {
        match self.as_mut().as_pin_mut() {
            Some(future) => future.poll(context),
            None => Poll::Pending,
        }
    }

    fn give_up(&mut self) {
        self.set(None);
    }
}

impl SilentAttempt for LiveAnswer {
    type Output = Option<Bytes>;

    fn poll_output(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, AttemptEnd>> {
        self.poll_chunk(context)
    }

    fn give_up(&mut self) {
        self.close();
    }
}
