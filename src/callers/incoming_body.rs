//! Reading the bodies of callers' requests.

use {
    super::{BodyCollector, BodyProgress, HeldBytes, RequestBody},
    bytes::Bytes,
    http_body_util::{BodyExt, Limited},
    hyper::body::{Body, Incoming},
    std::{error::Error, time::Duration},
    tokio::time::timeout,
};

/// How long the rest of a refused body is read.
const DISCARD_TIME: Duration = Duration::from_secs(10);

/// Reads a body of at most `max_bytes` to its end. What it takes is added to `held`; after each
/// addition, `check` says whether there is room for it. Fails with its error, or with what `cut`
/// makes of a body that is too long or breaks off.
pub async fn collect_body<E>(
    body: &mut Incoming,
    max_bytes: usize,
    progress: &BodyProgress,
    held: &HeldBytes,
    check: impl Fn() -> Result<(), E>,
    cut: impl Fn(&(dyn Error + Send + Sync + 'static)) -> E,
) -> Result<RequestBody, E> {
    let mut body = Limited::new(body, max_bytes);
    let mut collector = BodyCollector::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| cut(&*error))?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        let due = body.size_hint().upper().unwrap_or(u64::MAX);
        progress.record_piece(due);
        let taken = collector.push(&piece, due as usize);
        if taken > 0 {
            held.add(taken as u64);
            check()?;
        }
    }
    Ok(collector.finish())
}

/// Reads the rest of a body whose request is refused in the background, up to `max_bytes`: a
/// connection that is closed while bytes of its caller are unread is reset, and the caller may lose
/// the refusal.
pub fn discard_body(
    body: Incoming,
    max_bytes: usize,
    progress: BodyProgress,
) {
    if body.is_end_stream() {
        return progress.record_end();
    }
    progress.record_refusal();
    tokio::spawn(async move {
        match timeout(DISCARD_TIME, read_up_to(max_bytes, body, &progress)).await {
            Ok(true) => progress.record_end(),
            Ok(false) => {}
            Err(_) => log::debug!("the body of a refused request did not come"),
        }
    });
}

/// Returns whether the body came to its end.
async fn read_up_to(
    max_bytes: usize,
    mut body: Incoming,
    progress: &BodyProgress,
) -> bool {
    let mut bytes = 0;
    while bytes <= max_bytes {
        match body.frame().await {
            Some(Ok(frame)) => bytes += frame.data_ref().map_or(0, Bytes::len),
            Some(Err(error)) => {
                log::debug!("the body of a refused request: {error}");
                return false;
            }
            None => return true,
        }
        progress.record_piece(body.size_hint().upper().unwrap_or(u64::MAX));
    }
    false
}
