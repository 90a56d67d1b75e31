use {
    super::{
        answer_reader::{AnswerHead, AnswerReader, outcome},
        caller_request::CallerRequest,
        router::Router,
        send_request::send_request,
        wait_outcome::WaitOutcome,
    },
    crate::{
        codes::{ErrorAnswer, Ran, ResultCode},
        link::Peer,
        ops::RETRIES,
        policy::{Attempts, GrantNumber, Moment, RouterExchange, WaitingRequest},
    },
    bytes::Bytes,
    std::{sync::Arc, time::Duration},
};

/// The most attempts at one request, including those that a sidecar handed back unstarted.
const MAX_ATTEMPTS: u32 = 16;

/// Answers other than event streams are buffered up to this size before the caller gets
/// any of them, so that a truncated one can be retried or replaced by an error. A larger
/// one is streamed if it declares its length, which makes truncation visible.
const MAX_BUFFERED_ANSWER_BYTES: usize = 1 << 20;

/// Answers without a declared length are buffered up to this size, and refused above it.
const MAX_UNDECLARED_ANSWER_BYTES: usize = 64 << 20;

/// `Retry-After` of a refusal for which no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An answer whose head has been read.
pub struct Answer {
    pub head: AnswerHead,
    pub buffered: Vec<Bytes>,         // chunks read so far
    pub unread: Option<AnswerReader>, // `None` if `buffered` holds the complete body
}

/// Answers one request: sends it as an offer if a sidecar has a free slot, otherwise waits
/// for grants, and retries where that is safe.
pub async fn answer_request(
    router: &Arc<Router>,
    request: &CallerRequest,
) -> Result<Answer, ErrorAnswer> {
    RequestFlow::new(router, request).run().await
}

struct RequestFlow<'f> {
    router: &'f Arc<Router>,
    request: &'f CallerRequest,
    waiting: WaitingRequest,
    attempts: Attempts,
}

impl<'f> RequestFlow<'f> {
    fn new(
        router: &'f Arc<Router>,
        request: &'f CallerRequest,
    ) -> Self {
        let now = router.node.now();
        let waiting = WaitingRequest {
            id: router.next_request_id(),
            account: request.account,
            arrived: now,
            deadline: now + request.patience,
            bytes: request.body.len() as u64,
            hosts: request.hosts.clone(),
            prefix: request.prefix,
        };
        Self {
            router,
            request,
            waiting,
            attempts: Attempts::default(),
        }
    }

    async fn run(mut self) -> Result<Answer, ErrorAnswer> {
        self.router.count_request();
        if let Some(peer) = self.router.begin_offer(&self.waiting) {
            let done = self.attempt(&peer, None).await;
            self.router.end_offer(&peer);
            if let Some(done) = done {
                return done;
            }
        }
        loop {
            let (peer, grant) = self.wait_for_grant().await?;
            if let Some(done) = self.attempt(&peer, Some(grant)).await {
                return done;
            }
        }
    }

    async fn wait_for_grant(&self) -> Result<(Arc<Peer>, GrantNumber), ErrorAnswer> {
        let is_requeued = self.attempts.count() > 0;
        let outcome = self
            .router
            .wait_for_grant(self.waiting.clone(), is_requeued)
            .await;
        match outcome {
            Some(WaitOutcome::Granted { peer, grant }) => Ok((peer, grant)),
            Some(WaitOutcome::Shed(shed)) => {
                Err(self.error(shed.code).retry_after(shed.retry_after))
            }
            None => Err(self
                .error(ResultCode::Stopping)
                .retry_after(DEFAULT_RETRY_AFTER)),
        }
    }

    /// An error that states whether the request ran, as far as all attempts together show.
    fn error(
        &self,
        code: ResultCode,
    ) -> ErrorAnswer {
        let error = ErrorAnswer::new(code);
        ErrorAnswer {
            ran: self.attempts.ran(error.ran),
            ..error
        }
    }

    /// Makes one attempt. `None` means that the request should be tried again.
    async fn attempt(
        &mut self,
        peer: &Arc<Peer>,
        grant: Option<GrantNumber>,
    ) -> Option<Result<Answer, ErrorAnswer>> {
        let state = match self.send(peer, grant).await {
            Ok(answer) => return Some(Ok(answer)),
            Err(state) => state,
        };
        self.attempts.ended(state);
        let (ran, code) = outcome(state);
        log::debug!(
            code = code.number(),
            request_id = self.request.request_id.as_str(),
            peer = &*peer.host;
            "attempt {} ended", self.attempts.count()
        );
        if self.should_retry(state, ran, code) {
            return None;
        }
        let error = ErrorAnswer {
            ran: self.attempts.ran(ran),
            ..ErrorAnswer::new(code)
        };
        let suggest_retry = error.ran == Ran::No && !is_permanent(code);
        Some(Err(if suggest_retry {
            error.retry_after(DEFAULT_RETRY_AFTER)
        } else {
            error
        }))
    }

    async fn send(
        &self,
        peer: &Arc<Peer>,
        grant: Option<GrantNumber>,
    ) -> Result<Answer, RouterExchange> {
        let patience = self.waiting.deadline.saturating_sub(self.now());
        let mut reader =
            send_request(self.request, peer, peer.incarnation, grant, patience).await?;
        let head = reader.read_head().await?;
        if head.is_event_stream() {
            return Ok(Answer {
                head,
                buffered: Vec::new(),
                unread: Some(reader),
            });
        }
        let bound = match head.declared_length() {
            Some(_) => MAX_BUFFERED_ANSWER_BYTES,
            None => MAX_UNDECLARED_ANSWER_BYTES,
        };
        let (mut buffered, mut size) = (Vec::new(), 0);
        while size <= bound {
            match reader.read_chunk().await? {
                Some(chunk) => {
                    size += chunk.len();
                    buffered.push(chunk.into());
                }
                None => {
                    return Ok(Answer {
                        head,
                        buffered,
                        unread: None,
                    });
                }
            }
        }
        if head.declared_length().is_none() {
            return Err(reader.abort(ResultCode::AnswerTooLarge));
        }
        Ok(Answer {
            head,
            buffered,
            unread: Some(reader),
        })
    }

    /// Whether the request should be tried again. Takes a retry from the budget if needed.
    fn should_retry(
        &self,
        state: RouterExchange,
        ran: Ran,
        code: ResultCode,
    ) -> bool {
        let may_continue =
            self.now() < self.waiting.deadline && self.attempts.count() < MAX_ATTEMPTS;
        if !may_continue || is_permanent(code) || !state.may_retry(self.request.repeatable, false) {
            return false;
        }
        let why = if ran == Ran::No { "not_run" } else { "unknown" };
        let allowed = ran == Ran::No || self.router.take_retry();
        if allowed {
            metrics::counter!(RETRIES, "why" => why).increment(1);
        }
        allowed
    }

    fn now(&self) -> Moment {
        self.router.node.now()
    }
}

/// Whether another attempt would be refused for the same reason.
fn is_permanent(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::KeyInProgress | ResultCode::KeyAlreadyRan | ResultCode::KeyMemoryYoung
    )
}
