use {
    super::{
        answer_reader::{AnswerHead, AnswerReader, outcome},
        attempt::send_request,
        caller_request::CallerRequest,
        router::Router,
        turn::Turn,
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

/// Attempts at one request, however each was handed back.
const MAX_ATTEMPTS: u32 = 16;

/// Answers that are no event stream are taken whole before the caller gets any
/// of them, so that a cut one can be retried or becomes a plain error. Above
/// this size they must declare their length, so that a cut shows.
const KEPT_ANSWER: usize = 1 << 20;

/// Answers of no declared length are taken whole up to this size.
const LONGEST_UNDECLARED: usize = 64 << 20;

/// When to come back after a refusal that says nothing better.
const RETRY_SOON: Duration = Duration::from_secs(1);

/// An answer that has begun.
pub struct Answer {
    pub head: AnswerHead,
    pub first: Vec<Bytes>,          // taken already
    pub rest: Option<AnswerReader>, // none when `first` is whole
}

/// Brings one request to its answer: through the waiting room, by an offer or a
/// grant, with retries where they are safe.
pub async fn answer_request(
    router: &Arc<Router>,
    request: &CallerRequest,
) -> Result<Answer, ErrorAnswer> {
    Flow::new(router, request).run().await
}

struct Flow<'f> {
    router: &'f Arc<Router>,
    request: &'f CallerRequest,
    waiting: WaitingRequest,
    attempts: Attempts,
}

impl<'f> Flow<'f> {
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
        if let Some(peer) = self.router.pick_offer(&self.waiting) {
            let done = self.attempt(&peer, None).await;
            self.router.offer_ended(&peer);
            if let Some(done) = done {
                return done;
            }
        }
        loop {
            let (peer, grant) = self.wait().await?;
            if let Some(done) = self.attempt(&peer, Some(grant)).await {
                return done;
            }
        }
    }

    async fn wait(&self) -> Result<(Arc<Peer>, GrantNumber), ErrorAnswer> {
        let again = self.attempts.count() > 0;
        let turn = self.router.wait_for_turn(self.waiting.clone(), again).await;
        match turn {
            Some(Turn::Granted { peer, grant }) => Ok((peer, grant)),
            Some(Turn::Shed(shed)) => Err(self.error(shed.code).retry_after(shed.retry_after)),
            None => Err(self.error(ResultCode::Stopping).retry_after(RETRY_SOON)),
        }
    }

    /// An error that says what all attempts together know.
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

    /// One attempt. None when the request should wait for another.
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
        if self.goes_on(state, ran, code) {
            return None;
        }
        let error = ErrorAnswer {
            ran: self.attempts.ran(ran),
            ..ErrorAnswer::new(code)
        };
        let come_back = error.ran == Ran::No && !is_final(code);
        Some(Err(if come_back {
            error.retry_after(RETRY_SOON)
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
        let head = reader.head().await?;
        if head.is_event_stream() {
            return Ok(Answer {
                head,
                first: Vec::new(),
                rest: Some(reader),
            });
        }
        let bound = match head.declared_length() {
            Some(_) => KEPT_ANSWER,
            None => LONGEST_UNDECLARED,
        };
        let (mut first, mut size) = (Vec::new(), 0);
        while size <= bound {
            match reader.chunk().await? {
                Some(chunk) => {
                    size += chunk.len();
                    first.push(chunk.into());
                }
                None => {
                    return Ok(Answer {
                        head,
                        first,
                        rest: None,
                    });
                }
            }
        }
        if head.declared_length().is_none() {
            return Err(reader.give_up(ResultCode::AnswerTooLarge));
        }
        Ok(Answer {
            head,
            first,
            rest: Some(reader),
        })
    }

    /// Whether the request should be tried again.
    fn goes_on(
        &self,
        state: RouterExchange,
        ran: Ran,
        code: ResultCode,
    ) -> bool {
        let in_time = self.now() < self.waiting.deadline && self.attempts.count() < MAX_ATTEMPTS;
        if !in_time || is_final(code) || !state.may_retry(self.request.repeatable, false) {
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

/// Refusals that another attempt would meet as well.
fn is_final(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::KeyInProgress | ResultCode::KeyAlreadyRan | ResultCode::KeyMemoryYoung
    )
}
