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

/// A body that is being read into memory.
pub struct BodyReading<'b> {
    body: Limited<&'b mut Incoming>,
    progress: &'b BodyProgress,
    held: &'b HeldBytes,
    collector: BodyCollector,
}

impl<'b> BodyReading<'b> {
    /// Begins to read a body of at most `max_bytes`. What it takes is added to `held`.
    pub fn new(
        body: &'b mut Incoming,
        max_bytes: usize,
        progress: &'b BodyProgress,
        held: &'b HeldBytes,
    ) -> Self {
        Self {
            body: Limited::new(body, max_bytes),
            progress,
            held,
            collector: BodyCollector::default(),
        }
    }

    /// Reads on until the body takes more memory. Returns whether it does; at the end of the body it
    /// takes no more. Fails if it is too long or breaks off.
    pub async fn read_more(&mut self) -> Result<bool, Box<dyn Error + Send + Sync>> {
        while let Some(frame) = self.body.frame().await {
            let Ok(piece) = frame?.into_data() else {
                continue;
            };
            let due = self.body.size_hint().upper().unwrap_or(u64::MAX);
            self.progress.record_piece(due);
            let taken = self.collector.push(&piece, due as usize);
            if taken > 0 {
                self.held.add(taken as u64);
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// The body, after its end.
    pub fn finish(self) -> RequestBody {
        self.collector.finish()
    }
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
