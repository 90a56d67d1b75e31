//! Decides whether an answer that ended is whole, for every size and framing.

use {
    super::{attempt_end::AttemptEnd, live_answer::LiveAnswer},
    crate::codes::ResultCode,
};

/// Checks that an answer is whole of which the body ended without an error of its framing. Fails
/// with `ResultCode::AnswerCut` if it is a stream that ends inside an event, or if only the end of
/// its connection ends it and its replica has exited: the kernel closes the connections of a
/// process that exits like those of whole answers.
pub async fn check_whole(
    answer: &LiveAnswer,
    is_inside_event: bool,
) -> Result<(), AttemptEnd> {
    if is_inside_event {
        return Err(cut("the stream ended inside an event"));
    }
    if answer.ends_with_connection && answer.has_replica_exited().await {
        return Err(cut("the replica exited at the end of the answer"));
    }
    Ok(())
}

fn cut(detail: &str) -> AttemptEnd {
    AttemptEnd::Unknown {
        code: ResultCode::AnswerCut,
        detail: detail.to_owned(),
    }
}
