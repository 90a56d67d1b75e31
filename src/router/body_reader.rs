use {
    crate::{
        callers::{BodyProgress, BodyReading, HeldBytes},
        codes::{ErrorAnswer, ResultCode},
    },
    bytes::Bytes,
    http_body_util::LengthLimitError,
    hyper::body::{Body, Incoming},
    std::{error::Error, time::Duration},
};

/// `Retry-After` of a refusal because callers take all the memory that they may.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reads a body of at most `max_bytes`, as long as there is room for it.
pub async fn read_body(
    body: &mut Incoming,
    max_bytes: usize,
    progress: &BodyProgress,
    held: &HeldBytes,
) -> Result<Bytes, ErrorAnswer> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large(max_bytes));
    }
    if !progress.admits_request() {
        return Err(callers_full());
    }
    let mut reading = BodyReading::new(body, max_bytes, progress, held);
    while reading
        .read_more()
        .await
        .map_err(|error| cut_error(&*error, max_bytes))?
    {
        if !progress.record_held(held.own()).await {
            return Err(callers_full());
        }
    }
    let body = reading.finish();
    progress.record_end();
    Ok(body.into_bytes())
}

fn cut_error(
    error: &(dyn Error + Send + Sync + 'static),
    max_bytes: usize,
) -> ErrorAnswer {
    match error.is::<LengthLimitError>() {
        true => too_large(max_bytes),
        false => ErrorAnswer::new(ResultCode::BadBody).detail("the body was cut"),
    }
}

fn too_large(max_bytes: usize) -> ErrorAnswer {
    ErrorAnswer::new(ResultCode::BodyTooLarge).detail(format!("the body is over {max_bytes} bytes"))
}

fn callers_full() -> ErrorAnswer {
    ErrorAnswer::new(ResultCode::CallersFull).retry_after(FULL_RETRY_AFTER)
}
