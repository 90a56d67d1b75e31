use {
    super::{
        attempt::{AttemptTarget, send_call},
        attempt_end::AttemptEnd,
        call::Call,
        events_relay::EventsRelay,
        gateway::Gateway,
        live_answer::LiveAnswer,
        plain_relay::plain_reply,
        sent_attempt::SentAttempt,
        successor::Waited,
        unanswered::Unanswered,
        wait_while_alive::wait_while_alive,
    },
    crate::{
        callers::ReplyBody,
        codes::ErrorAnswer,
        policy::{Moment, shares::AccountShare, streams::SoftwareVersion},
    },
    hyper::Response,
    std::{
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Attempts that fail before a byte is sent do not count towards the route's attempts, and
/// have their own limit.
pub(super) const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// No attempt is started with less time left than this.
pub(super) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);

/// The final answer is sent this long before the caller's deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// Retry-After where a replica refused without giving one.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// An attempt that no other can follow uses no connection that was idle for longer. A connection
/// that fell silent without a reset looks like any other, and the caller would get no answer.
const MAX_IDLE_FOR_LAST_ATTEMPT: Duration = Duration::from_secs(1);

/// Minimum wait for the first event of a stream before another replica is tried.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(900);

/// Processes one call: sends it to one replica after another until one answers.
pub struct Exchange {
    pub gateway: Arc<Gateway>,
    pub call: Arc<Call>,
    pub(super) tried: Vec<Arc<str>>, // ids of the replicas chosen so far
    pub(super) sent_attempts: u32,   // of which at least a byte was sent
    pub(super) unsent_attempts: u32, // that failed before
    pub(super) is_sending: bool,     // an attempt is in neither count yet
    pub(super) written_at: Arc<AtomicU64>, // uptime in ms when it was written; 0 if it was not
    pub(super) may_have_run: bool,   // the outcome of some attempt is unknown
    pub(super) charged_tokens: f32,  // zero until the account is charged
    pub(super) share: Option<AccountShare>, // of the account, at the last placement
    pub(super) last_attempt: Option<SentAttempt>,
    pub(super) successor: Option<(AttemptTarget, Duration)>, // the next attempt, and its duration
    pub(super) checked_at: Option<u32>, // `sent_attempts` when `check_suspect` last ran
    pub(super) stream_version: Option<SoftwareVersion>, // once the stream has begun, here or elsewhere
    pub(super) no_successor_since: Option<Moment>, // its replica is silent and has no successor
    failure: Option<Response<ReplyBody>>, // a replica's error answer, if no attempt succeeds
}

/// An answer whose head was received, and the time that remains for its body.
pub struct StartedAnswer {
    pub answer: LiveAnswer,
    pub timeout: Duration, // until the first event, or the whole plain answer
}

/// Why an attempt led to no reply.
pub enum NoReply {
    Ended(AttemptEnd),
    Replaced(Box<StartedAnswer>), // by the answer of its successor
    Unanswered(ErrorAnswer),      // its successors failed too
}

impl Exchange {
    /// An exchange for a call that was not sent yet.
    pub fn new(
        gateway: Arc<Gateway>,
        call: Arc<Call>,
    ) -> Self {
        let stream_version = call.stream_version;
        Self {
            gateway,
            call,
            tried: Vec::new(),
            sent_attempts: 0,
            unsent_attempts: 0,
            is_sending: false,
            written_at: Arc::default(),
            may_have_run: false,
            charged_tokens: 0.0,
            share: None,
            last_attempt: None,
            successor: None,
            checked_at: None,
            stream_version,
            no_successor_since: None,
            failure: None,
        }
    }

    /// Sends the call until it is answered or no attempt is left.
    pub async fn run(mut self) -> Result<Response<ReplyBody>, Unanswered> {
        self.gateway.count_request(&self.call.service);
        self.gateway
            .record_requested(self.call.account.as_deref(), self.call.tokens());
        let mut next = None;
        loop {
            let started = match next.take() {
                Some(started) => Ok(started),
                None => self.start_answer(None).await,
            };
            let started = match started {
                Ok(started) => started,
                Err(error) => return self.unanswered(error),
            };
            let is_events = self.call.route.kind.is_stream()
                && started.answer.head.status == 200
                && started.answer.is_event_stream() != Some(false);
            let reply = if is_events {
                let relay = EventsRelay::new(self, started.answer);
                match relay.start_reply(started.timeout).await {
                    Ok(response) => return Ok(response),
                    Err((exchange, none)) => {
                        self = exchange;
                        Err(none)
                    }
                }
            } else {
                plain_reply(&mut self, started).await
            };
            match reply {
                Ok(response) => return Ok(response),
                Err(NoReply::Replaced(started)) => next = Some(*started),
                Err(NoReply::Unanswered(error)) => return self.unanswered(error),
                Err(NoReply::Ended(end)) => {
                    if let Err(error) = self.end_attempt(&end).await {
                        return self.unanswered(error);
                    }
                }
            }
        }
    }

    /// The error answer of a replica if there is one, otherwise the router's own error.
    fn unanswered(
        self,
        error: ErrorAnswer,
    ) -> Result<Response<ReplyBody>, Unanswered> {
        let share = self.share;
        self.failure.ok_or(Unanswered { error, share })
    }

    /// Sets the replica's error answer that is relayed if no later attempt succeeds.
    pub fn set_failure(
        &mut self,
        failure: Response<ReplyBody>,
    ) {
        self.failure = Some(failure);
    }

    /// Sends the call to replicas until one starts to answer.
    pub async fn start_answer(
        &mut self,
        last_event: Option<&str>,
    ) -> Result<StartedAnswer, ErrorAnswer> {
        loop {
            if self.successor.is_none() {
                self.check_suspect().await?;
            }
            let (target, expected) = self.choose_replica()?;
            match self.attempt(target, expected, last_event).await {
                Ok(started) => return Ok(started),
                Err(NoReply::Replaced(started)) => return Ok(*started),
                Err(NoReply::Unanswered(error)) => return Err(error),
                Err(NoReply::Ended(end)) => self.end_attempt(&end).await?,
            }
        }
    }

    /// Sends the call to one replica and waits for the head of its answer.
    async fn attempt(
        &mut self,
        target: AttemptTarget,
        expected: Duration,
        last_event: Option<&str>,
    ) -> Result<StartedAnswer, NoReply> {
        let replica = target.entry.id.clone();
        let limit = self.attempt_timeout(expected);
        let max_idle = match self.is_last_attempt() {
            true => MAX_IDLE_FOR_LAST_ATTEMPT,
            false => Duration::MAX,
        };
        let sent_at = self.gateway.now();
        self.last_attempt = Some(SentAttempt::new(
            self.gateway.clone(),
            self.call.clone(),
            target.entry.clone(),
            expected,
            target.queue_wait,
        ));
        self.is_sending = true;
        self.written_at.store(0, Ordering::Relaxed);
        let (gateway, call) = (self.gateway.clone(), self.call.clone());
        let written_at = self.written_at.clone();
        let sending = send_call(&gateway, &call, target, max_idle, last_event, &written_at);
        let mut sending = pin!(Some(sending));
        let time_left = self.time_left();
        let head = sending.as_mut().as_pin_mut().expect("just set");
        let outcome = wait_while_alive(&gateway, &replica, limit, time_left, head).await;
        let outcome = match outcome {
            Some(outcome) => outcome,
            None => match self.await_silent(&mut sending, sent_at, last_event).await {
                Ok(Waited::Output(outcome)) => outcome,
                Ok(Waited::Deadline) => {
                    let waited = gateway.now().saturating_sub(sent_at);
                    Err(AttemptEnd::timed_out("answer", waited))
                }
                Ok(Waited::Replaced(started)) => return Err(NoReply::Replaced(started)),
                Err(error) => return Err(NoReply::Unanswered(error)),
            },
        };
        self.count_attempt(&replica, &outcome);
        let answer = outcome.map_err(NoReply::Ended)?;
        let spent = gateway.now().saturating_sub(sent_at);
        let timeout = limit.saturating_sub(spent);
        Ok(StartedAnswer { answer, timeout })
    }

    /// Whether the call may be sent again after an attempt with unknown outcome.
    pub fn may_repeat(&self) -> bool {
        self.call.route.kind.may_repeat()
            && self.sent_attempts + u32::from(self.is_sending) < self.call.route.max_attempts
            && self.time_left() > MIN_ATTEMPT_TIME
    }

    /// Time left until the final answer must be sent.
    pub fn time_left(&self) -> Duration {
        let time_left = self.call.time_left(self.gateway.now());
        time_left.saturating_sub(ANSWER_MARGIN)
    }

    /// Records that the replica of the last attempt answered completely.
    pub fn record_replica_success(&mut self) {
        if let Some(attempt) = &mut self.last_attempt {
            attempt.finish();
            self.gateway.replica_table().record_success(&attempt.entry);
        }
    }

    /// Records the same for an answer that is not a stream; its duration also updates the
    /// estimates of the replica's speed and of the error of the expected duration.
    pub fn record_plain_success(&mut self) {
        let now = self.gateway.now();
        if let Some(attempt) = &mut self.last_attempt {
            attempt.finish();
            let mut replica_table = self.gateway.replica_table();
            replica_table.record_success(&attempt.entry);
            replica_table.record_plain_request(&attempt.entry, attempt.plain_run(now));
        }
    }

    /// Updates the estimate of stream durations after a complete stream that a single
    /// replica generated.
    pub fn record_stream_duration(&self) {
        let attempt = self
            .last_attempt
            .as_ref()
            .filter(|_| self.sent_attempts == 1);
        let started = attempt.and_then(|attempt| Some((&attempt.entry, attempt.first_event_at?)));
        if let Some(((entry, started), prompt)) = started.zip(self.call.prompt.as_ref()) {
            let now = self.gateway.now();
            let took = now.saturating_sub(started);
            let mut replica_table = self.gateway.replica_table();
            replica_table.record_stream(now, entry, prompt.output_tokens, took);
        }
    }

    /// The id of the last attempt's replica.
    pub(super) fn last_replica(&self) -> &str {
        let attempt = self.last_attempt.as_ref();
        attempt.map_or("", |attempt| &attempt.entry.id)
    }

    /// Whether the call cannot be sent again if the next attempt gets no answer.
    fn is_last_attempt(&self) -> bool {
        let route = &self.call.route;
        !route.kind.may_repeat() || self.sent_attempts + 1 >= route.max_attempts
    }

    /// How long an attempt may take before another replica is tried or the caller gets an
    /// error.
    fn attempt_timeout(
        &self,
        expected: Duration,
    ) -> Duration {
        let time_left = self.time_left();
        if self.is_last_attempt() {
            return time_left;
        }
        let target_latency = self.call.route.target_latency;
        let timeout = if self.call.route.kind.is_stream() {
            (target_latency + expected * 2).max(MIN_FIRST_EVENT_TIMEOUT)
        } else {
            target_latency * 2 + expected
        };
        timeout.min(time_left)
    }

    fn count_attempt<T>(
        &mut self,
        replica: &str,
        outcome: &Result<T, AttemptEnd>,
    ) {
        if !std::mem::take(&mut self.is_sending) {
            return; // counted when its successor was asked
        }
        if matches!(
            outcome,
            Err(AttemptEnd::NotSent { .. } | AttemptEnd::Withheld)
        ) {
            self.unsent_attempts += 1;
        } else {
            self.sent_attempts += 1;
        }
        log::debug!(
            request_id = self.call.request_id.as_str(), replica = replica;
            "attempts: {} sent, {} not sent", self.sent_attempts, self.unsent_attempts
        );
    }
}
