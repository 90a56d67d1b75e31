use {
    super::{gateway::Gateway, request_reader::BODY_TIMEOUT},
    crate::{callers::BodyProgress, codes::ResultCode},
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    tokio::time::timeout,
};

/// What is left of a body whose request is refused.
///
/// A connection that is closed while bytes of its caller are unread is reset, and the caller may
/// lose the refusal. So the rest is read while the refusal is sent, and the connection stays in
/// use where the caller can be relied on to send all of it.
pub struct RefusedBody {
    rest: Option<Incoming>, // `None` if it was read to its end
    awaits_continue: bool,
    code: ResultCode,
}

impl RefusedBody {
    /// The body of a request that is refused with `code`. With `awaits_continue`, its caller sends
    /// it only when it is asked to.
    pub fn new(
        body: Incoming,
        awaits_continue: bool,
        code: ResultCode,
    ) -> Self {
        Self {
            rest: (!body.is_end_stream()).then_some(body),
            awaits_continue,
            code,
        }
    }

    /// Whether its end may never be read, so that the connection can carry no other request.
    pub fn is_abandoned(&self) -> bool {
        let is_at_fault = matches!(
            self.code,
            ResultCode::BodyTooLarge
                | ResultCode::BodyLate
                | ResultCode::BadBody
                | ResultCode::CallersFull
        );
        self.rest.is_some() && (self.awaits_continue || is_at_fault)
    }

    /// Reads the rest in the background, up to the limit on bodies.
    pub fn discard(
        self,
        gateway: &Gateway,
        progress: BodyProgress,
    ) {
        if self.rest.is_none() {
            return progress.record_end();
        }
        progress.record_refusal();
        let limits = gateway.catalog.config().map(|table| table.limits);
        let max_bytes = limits.unwrap_or_default().max_body_bytes;
        let Some(rest) = self.rest.filter(|_| !self.awaits_continue) else {
            return;
        };
        tokio::spawn(async move {
            match timeout(BODY_TIMEOUT, read_up_to(max_bytes, rest, &progress)).await {
                Ok(true) => progress.record_end(),
                Ok(false) => {}
                Err(_) => log::debug!("the body of a refused request did not come"),
            }
        });
    }
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
            Some(Ok(frame)) => bytes += frame.data_ref().map_or(0, |data| data.len()),
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
