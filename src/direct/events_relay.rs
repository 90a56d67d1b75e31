use {
    super::{
        attempt_end::AttemptEnd,
        event_assembler::EventAssembler,
        exchange::{Exchange, NoReply, StartedAnswer},
        late_bytes::LateBytes,
        live_answer::LiveAnswer,
        reply::{copy_head, cut_error, replica_reply},
        stream_watch::StreamWatch,
        successor::{SUCCESSOR_INTERVAL, Waited},
        timeout_unless_ready::timeout_unless_ready,
        wait_while_alive::wait_while_alive,
    },
    crate::{
        callers::ReplyBody,
        codes::{ErrorAnswer, ResultCode},
        ops::STREAMS,
        policy::Moment,
    },
    bytes::Bytes,
    futures::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::{Response, body::Frame, header::CONTENT_LENGTH},
    std::{io, time::Duration},
};

/// Minimum time without an event after which a stream is resumed at another replica.
const MIN_RESUME_TIMEOUT: Duration = Duration::from_millis(1300);

/// The target pause where the route sets none.
const DEFAULT_TARGET_PAUSE: Duration = Duration::from_millis(200);

/// The next whole events of a replica; `None` if its stream is whole.
type ReadEvents = Result<Option<Bytes>, AttemptEnd>;

/// Relays a stream of events to a caller, and resumes it at another replica if one fails.
pub struct EventsRelay {
    exchange: Option<Exchange>, // `None` once it is returned by `start_reply`
    answer: LiveAnswer,
    events: EventAssembler,
    arrived: Option<Result<Option<Bytes>, AttemptEnd>>, // read while a successor was asked
    is_done: bool,
    late: LateBytes,
    has_resumed: bool, // at another replica, without an event since
    first_event_after: Option<Duration>, // time from the call's arrival to its first event
    longest_pause: Duration, // between events, while the replica was waited for
    pause_watch: Option<StreamWatch>, // if the route sets a target pause
    outcome: &'static str, // `whole`, `cut`, or `left` if the caller disconnected
}

impl Drop for EventsRelay {
    fn drop(&mut self) {
        let Some(exchange) = &self.exchange else {
            return;
        };
        metrics::counter!(STREAMS, "how" => self.outcome).increment(1);
        let took = exchange.gateway.now().saturating_sub(exchange.call.arrived);
        log::info!(
            request_id = exchange.call.request_id.as_str(),
            replica = &**self.answer.in_flight.replica(),
            last_event = self.events.last_id().unwrap_or(""),
            how = self.outcome,
            first_ms = self.first_event_after.unwrap_or(took).as_millis() as u64,
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            ms = took.as_millis() as u64;
            "stream ended"
        );
    }
}

impl EventsRelay {
    /// A relay for an answer whose head was received.
    pub fn new(
        exchange: Exchange,
        answer: LiveAnswer,
    ) -> Self {
        let events = EventAssembler::new(exchange.gateway.clone());
        Self {
            exchange: Some(exchange),
            answer,
            events,
            arrived: None,
            is_done: false,
            late: LateBytes::default(),
            has_resumed: false,
            first_event_after: None,
            longest_pause: Duration::ZERO,
            pause_watch: None,
            outcome: "left",
        }
    }

    /// Waits for the first event, then returns a response that streams it and all later ones.
    /// Returns the exchange if no event arrives, or another replica answers.
    pub async fn start_reply(
        mut self,
        limit: Duration,
    ) -> Result<Response<ReplyBody>, (Exchange, NoReply)> {
        let gateway = self.exchange().gateway.clone();
        let replica = self.answer.in_flight.replica().clone();
        let time_left = self.exchange().time_left();
        let since = gateway.now();
        let mut waited =
            wait_while_alive(&gateway, &replica, limit, time_left, self.read_events()).await;
        let first = loop {
            if let Some(first) = waited {
                break first.map_err(NoReply::Ended);
            }
            match self.await_silent(since).await {
                Ok(Waited::Output(chunk)) => self.arrived = Some(chunk),
                Ok(Waited::Replaced(started)) => break Err(NoReply::Replaced(started)),
                Ok(Waited::Deadline) => break Err(NoReply::Ended(self.timed_out(since))),
                Err(error) => break Err(NoReply::Unanswered(error)),
            }
            waited = timeout_unless_ready(SUCCESSOR_INTERVAL, self.read_events()).await;
        };
        let first = match first {
            Ok(first) => first,
            Err(no_reply) => {
                let exchange = self.exchange.take().expect("exchange taken twice");
                return Err((exchange, no_reply));
            }
        };
        self.answer.in_flight.record_first_token();
        let arrived = self.exchange().call.arrived;
        self.first_event_after = Some(gateway.now().saturating_sub(arrived));
        self.start_pause_watch();
        let mut head = copy_head(&self.answer.head);
        // Where another replica continues the stream, it may have another length.
        head.headers.remove(CONTENT_LENGTH);
        let pieces = stream::unfold((first, self), |(first, mut relay)| async move {
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (None, relay)));
            }
            let piece = relay.next_events().await?;
            Some((piece.map(Frame::data), (None, relay)))
        });
        let body = StreamBody::new(pieces).boxed_unsync();
        Ok(replica_reply(head, body, None))
    }

    /// The next events for the caller, resuming the stream if its replica fails; `None` at the
    /// end.
    async fn next_events(&mut self) -> Option<Result<Bytes, io::Error>> {
        let mut since = self.exchange().gateway.now();
        while !self.is_done {
            let time_left = self.exchange().time_left();
            let limit = if self.may_resume() {
                self.resume_timeout().min(time_left)
            } else {
                time_left
            };
            let output = match self.read_events_within(limit, since).await {
                Some(output) => output,
                None => match self.await_silent(since).await {
                    Ok(Waited::Output(chunk)) => {
                        self.arrived = Some(chunk);
                        continue;
                    }
                    Ok(Waited::Deadline) => Err(self.timed_out(since)),
                    Ok(Waited::Replaced(started)) => {
                        self.go_on(*started);
                        since = self.exchange().gateway.now();
                        continue;
                    }
                    Err(error) => return Some(Err(self.cut(cut_error(error.code)))),
                },
            };
            match output {
                Ok(Some(events)) if time_left.is_zero() && !self.admit_late(events.len()) => {
                    return Some(Err(self.cut(cut_error("deadline exceeded"))));
                }
                Ok(Some(events)) => {
                    if std::mem::take(&mut self.has_resumed) {
                        self.answer.in_flight.record_first_token();
                    }
                    self.exchange_mut().no_successor_since = None;
                    return Some(Ok(events));
                }
                Ok(None) => return None,
                Err(end) => {
                    if let Err(error) = self.resume(&end).await {
                        return Some(Err(self.cut(error)));
                    }
                    since = self.exchange().gateway.now();
                }
            }
        }
        None
    }

    fn admit_late(
        &mut self,
        bytes: usize,
    ) -> bool {
        self.late.admit(&self.answer, bytes)
    }

    /// Records that the stream ends before it is whole.
    fn cut(
        &mut self,
        error: io::Error,
    ) -> io::Error {
        self.is_done = true;
        self.outcome = "cut";
        error
    }

    /// Waits for bytes of a replica that has been silent since `since`, or for the answer of a
    /// successor.
    async fn await_silent(
        &mut self,
        since: Moment,
    ) -> Result<Waited<Result<Option<Bytes>, AttemptEnd>>, ErrorAnswer> {
        let last = self.events.last_id().map(str::to_owned);
        let exchange = self.exchange.as_mut().expect("exchange already taken");
        exchange
            .await_silent(&mut self.answer, since, last.as_deref())
            .await
    }

    fn timed_out(
        &self,
        since: Moment,
    ) -> AttemptEnd {
        let silence = self.exchange().gateway.now().saturating_sub(since);
        AttemptEnd::timed_out("event", silence)
    }

    /// The next whole events, awaited up to `limit`; `None` on time-out. Pauses are measured only
    /// while waiting for the replica, here since `since`, so that a caller that reads slowly adds
    /// none.
    async fn read_events_within(
        &mut self,
        limit: Duration,
        since: Moment,
    ) -> Option<ReadEvents> {
        // Taken out for the wait: if this future is dropped, the watch is dropped with it and
        // reports what it measured.
        let mut watch = self.pause_watch.take();
        let target_pause = watch.as_ref().and_then(StreamWatch::target_pause);
        let outcome = {
            let events = self.read_events();
            tokio::pin!(events);
            let first = target_pause.unwrap_or(limit).min(limit);
            match (timeout_unless_ready(first, &mut events).await, &mut watch) {
                (Some(outcome), _) => Some(outcome),
                (None, Some(watch)) if first < limit => {
                    watch.record_overrun();
                    let remaining = limit.saturating_sub(first);
                    timeout_unless_ready(remaining, &mut events).await
                }
                (None, _) => None,
            }
        };
        if self.first_event_after.is_some() {
            let waited = self.exchange().gateway.now().saturating_sub(since);
            self.longest_pause = self.longest_pause.max(waited);
        }
        match (&outcome, &mut watch) {
            (Some(Ok(Some(_))), Some(watch)) => watch.record_event(since),
            (Some(Ok(Some(_))), None) if self.first_event_after.is_some() => {
                self.start_pause_watch();
            }
            _ => {}
        }
        self.pause_watch = self.pause_watch.take().or(watch);
        outcome
    }

    /// Starts to measure the pauses between the current replica's events.
    fn start_pause_watch(&mut self) {
        let exchange = self.exchange();
        let gateway = exchange.gateway.clone();
        let entry = exchange
            .last_attempt
            .as_ref()
            .map(|attempt| attempt.entry.clone());
        let target_pause = exchange.call.route.target_pause;
        self.pause_watch = entry
            .zip(target_pause)
            .map(|(entry, target)| StreamWatch::new(gateway, entry, target));
    }

    /// The next whole events of the current replica; `None` if its stream is whole.
    async fn read_events(&mut self) -> ReadEvents {
        if self.is_done {
            return Ok(None);
        }
        loop {
            let chunk = match self.arrived.take() {
                Some(chunk) => chunk,
                None => self.answer.next_chunk().await,
            };
            match chunk? {
                Some(chunk) => {
                    if let Some(events) = self.events.push(&chunk)? {
                        self.exchange_mut().record_event();
                        return Ok(Some(events));
                    }
                }
                None if self.events.is_inside_event() => {
                    return Err(broken_off("the stream ended inside an event"));
                }
                // The kernel closes the connections of a process that exits like those of whole
                // answers.
                None if self.answer.ends_with_connection => {
                    // What a caller takes up may lack nothing but its end.
                    let takes_up = self.exchange().call.stream_version.is_some();
                    if self.first_event_after.is_none() && !takes_up {
                        return Err(broken_off("the stream ended before its first event"));
                    }
                    if self.exchange_mut().has_replica_exited().await {
                        return Err(broken_off("the replica exited at the end of the stream"));
                    }
                    return Ok(self.end_whole());
                }
                None => return Ok(self.end_whole()),
            }
        }
    }

    /// Records that the stream is whole, and returns the bytes after its last event.
    fn end_whole(&mut self) -> Option<Bytes> {
        self.is_done = true;
        self.outcome = "whole";
        self.exchange_mut().record_replica_success();
        self.exchange().record_stream_duration();
        self.exchange_mut().record_request_success();
        let rest = self.events.take_partial();
        (!rest.is_empty()).then_some(rest)
    }

    fn exchange(&self) -> &Exchange {
        self.exchange.as_ref().expect("exchange already taken")
    }

    fn exchange_mut(&mut self) -> &mut Exchange {
        self.exchange.as_mut().expect("exchange already taken")
    }

    fn may_resume(&self) -> bool {
        self.exchange().may_repeat() && self.events.last_id().is_some()
    }

    /// How long to wait for an event before the stream is resumed at another replica.
    fn resume_timeout(&self) -> Duration {
        let target_pause = self
            .exchange()
            .call
            .route
            .target_pause
            .unwrap_or(DEFAULT_TARGET_PAUSE);
        (target_pause * 5).max(MIN_RESUME_TIMEOUT)
    }

    /// Resumes the stream at another replica after the last whole event, as its attempt has
    /// ended.
    async fn resume(
        &mut self,
        end: &AttemptEnd,
    ) -> Result<(), io::Error> {
        let may_resume = self.may_resume();
        let ended = self.exchange_mut().end_attempt(end).await;
        if let Err(error) = ended {
            return Err(cut_error(error.code));
        }
        if !may_resume {
            return Err(cut_error(end.code()));
        }
        // The connection is closed first, so that no two replicas work on one request.
        self.answer.close();
        let last = self.events.last_id().map(str::to_owned);
        let started = self.exchange_mut().continue_answer(last.as_deref()).await;
        let started = started.map_err(|error| cut_error(error.code))?;
        self.go_on(started);
        Ok(())
    }

    /// Goes on with the answer of another replica.
    fn go_on(
        &mut self,
        started: StartedAnswer,
    ) {
        self.pause_watch = None;
        self.events.discard_partial();
        self.answer = started.answer;
        self.arrived = None;
        self.has_resumed = true;
    }
}

fn broken_off(detail: &str) -> AttemptEnd {
    AttemptEnd::Unknown {
        code: ResultCode::AnswerCut,
        detail: detail.to_owned(),
    }
}
