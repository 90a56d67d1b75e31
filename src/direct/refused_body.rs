use {
    super::gateway::Gateway,
    crate::{
        callers::{BodyProgress, discard_body},
        codes::ResultCode,
    },
    hyper::body::{Body, Incoming},
};

/// What is left of a body whose request is refused.
///
/// A connection that is closed while bytes of its caller are unread is reset, and the caller may
/// lose the refusal. So the rest is read while the refusal is sent, and the connection stays in
/// use where the caller can be relied on to send all of it.
pub struct RefusedBody {
    rest: Incoming,
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
            rest: body,
            awaits_continue,
            code,
        }
    }

    /// Whether its end may never be read, so that the connection can carry no other request.
    pub fn is_abandoned(&self) -> bool {
        let is_at_fault = matches!(
            self.code,
            ResultCode::BodyTooLarge | ResultCode::BodyLate | ResultCode::BadBody
        );
        !self.rest.is_end_stream() && (self.awaits_continue || is_at_fault)
    }

    /// Reads the rest in the background, up to the limit on bodies.
    pub fn discard(
        self,
        gateway: &Gateway,
        progress: BodyProgress,
    ) {
        if self.awaits_continue && !self.rest.is_end_stream() {
            return progress.record_refusal();
        }
        let limits = gateway.catalog.config().map(|table| table.limits);
        discard_body(
            self.rest,
            limits.unwrap_or_default().max_body_bytes,
            progress,
        );
    }
}
