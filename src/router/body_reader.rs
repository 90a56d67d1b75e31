use {
    crate::{
        callers::{BodyCollector, BodyProgress, HeldBytes},
        codes::{ErrorAnswer, ResultCode},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::{Body, Incoming},
    std::time::Duration,
    tokio::time::timeout,
};

/// How long the rest of a refused body is read, so that its caller can read the refusal.
const DISCARD_TIME: Duration = Duration::from_secs(10);

/// `Retry-After` of a refusal because callers take all the memory that they may.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Reads a body of at most `max_bytes`, as long as there is room for it.
pub async fn read_body(
    body: &mut Incoming,
    max_bytes: u64,
    progress: &BodyProgress,
    held: &HeldBytes,
) -> Result<Bytes, ErrorAnswer> {
    if body.size_hint().lower() > max_bytes {
        return Err(too_large(max_bytes));
    }
    if !progress.admits_request() {
        return Err(callers_full());
    }
    let mut body = Limited::new(body, max_bytes as usize);
    let mut collector = BodyCollector::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => too_large(max_bytes),
            false => ErrorAnswer::new(ResultCode::BadBody).detail("the body was cut"),
        })?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        let due = body.size_hint().upper().unwrap_or(max_bytes);
        progress.record_piece(due);
        held.add(collector.push(&piece, due as usize) as u64);
        if !progress.record_held(held.own()) {
            return Err(callers_full());
        }
    }
    progress.record_end();
    Ok(collector.finish().into_bytes())
}

/// Reads the rest of a body whose request is refused, in the background: a connection that is closed
/// while bytes of its caller are unread is reset, and the caller may lose the refusal.
pub fn discard_body(
    mut body: Incoming,
    max_bytes: u64,
    progress: BodyProgress,
) {
    if body.is_end_stream() {
        return progress.record_end();
    }
    progress.record_refusal();
    tokio::spawn(async move {
        let reading = async {
            let mut left = max_bytes;
            while let Some(Ok(frame)) = body.frame().await {
                let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
                progress.record_piece(body.size_hint().upper().unwrap_or(u64::MAX));
                left = left.checked_sub(bytes)?;
            }
            body.is_end_stream().then_some(())
        };
        match timeout(DISCARD_TIME, reading).await {
            Ok(Some(())) => progress.record_end(),
            _ => log::debug!("the body of a refused request did not come"),
        }
    });
}

fn too_large(max_bytes: u64) -> ErrorAnswer {
    ErrorAnswer::new(ResultCode::BodyTooLarge).detail(format!("the body is over {max_bytes} bytes"))
}

fn callers_full() -> ErrorAnswer {
    ErrorAnswer::new(ResultCode::CallersFull).retry_after(FULL_RETRY_AFTER)
}
