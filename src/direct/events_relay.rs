use {
    super::{
        attempt_end::AttemptEnd,
        event_assembler::EventAssembler,
        exchange::Exchange,
        live_answer::LiveAnswer,
        reply::{ReplyBody, copy_head, cut_error, replica_reply},
        stream_watch::StreamWatch,
        timeout_unless_ready::timeout_unless_ready,
        wait_while_alive::wait_while_alive,
    },
    crate::{codes::ResultCode, ops::STREAMS},
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

/// Relays a stream of events to a caller, and resumes it at another replica if one fails.
pub struct EventsRelay {
    exchange: Option<Exchange>, // `None` once it is returned by `start_reply`
    answer: LiveAnswer,
    events: EventAssembler,
    is_done: bool,
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
            is_done: false,
            has_resumed: false,
            first_event_after: None,
            longest_pause: Duration::ZERO,
            pause_watch: None,
            outcome: "left",
        }
    }

    /// Waits for the first event, then returns a response that streams it and all later ones.
    /// Returns the exchange if no event arrives.
    pub async fn start_reply(
        mut self,
        limit: Duration,
    ) -> Result<Response<ReplyBody>, (Exchange, AttemptEnd)> {
        let gateway = self.exchange().gateway.clone();
        let replica = self.answer.in_flight.replica().clone();
        let time_left = self.exchange().time_left();
        let first =
            wait_while_alive(&gateway, &replica, limit, time_left, self.read_events()).await;
        let first = first.unwrap_or_else(|| Err(timed_out(limit)));
        let first = match first {
            Ok(first) => first,
            Err(end) => {
                let exchange = self.exchange.take().expect("exchange taken twice");
                return Err((exchange, end));
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
        loop {
            if self.is_done {
                return None;
            }
            let time_left = self.exchange().time_left();
            let limit = if self.may_resume() {
                self.resume_timeout().min(time_left)
            } else {
                time_left
            };
            match self.read_events_within(limit).await {
                Ok(Some(events)) => {
                    if std::mem::take(&mut self.has_resumed) {
                        self.answer.in_flight.record_first_token();
                    }
                    return Some(Ok(events));
                }
                Ok(None) => return None,
                Err(end) => {
                    if let Err(error) = self.resume(&end).await {
                        self.is_done = true;
                        self.outcome = "cut";
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    /// The next whole events, awaited up to `limit`. Pauses are measured only while waiting for
    /// the replica, so that a caller that reads slowly adds none.
    async fn read_events_within(
        &mut self,
        limit: Duration,
    ) -> Result<Option<Bytes>, AttemptEnd> {
        let since = self.exchange().gateway.now();
        // Taken out for the wait: if this future is dropped, the watch is dropped with it and
        // reports what it measured.
        let mut watch = self.pause_watch.take();
        let target_pause = watch.as_ref().and_then(StreamWatch::target_pause);
        let outcome = {
            let events = self.read_events();
            tokio::pin!(events);
            let first = target_pause.unwrap_or(limit).min(limit);
            match (timeout_unless_ready(first, &mut events).await, &mut watch) {
                (Some(outcome), _) => outcome,
                (None, Some(watch)) if first < limit => {
                    watch.record_overrun();
                    let remaining = limit.saturating_sub(first);
                    timeout_unless_ready(remaining, &mut events)
                        .await
                        .unwrap_or_else(|| Err(timed_out(limit)))
                }
                (None, _) => Err(timed_out(limit)),
            }
        };
        if self.first_event_after.is_some() {
            let waited = self.exchange().gateway.now().saturating_sub(since);
            self.longest_pause = self.longest_pause.max(waited);
        }
        match (&outcome, &mut watch) {
            (Ok(Some(_)), Some(watch)) => watch.record_event(since),
            (Ok(Some(_)), None) => self.start_pause_watch(),
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
    async fn read_events(&mut self) -> Result<Option<Bytes>, AttemptEnd> {
        if self.is_done {
            return Ok(None);
        }
        loop {
            match self.answer.next_chunk().await? {
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

    /// Resumes the stream at another replica after the last whole event.
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
        self.pause_watch = None;
        self.events.discard_partial();
        let last = self.events.last_id().map(str::to_owned);
        let started = self.exchange_mut().start_answer(last.as_deref()).await;
        let started = started.map_err(|error| cut_error(error.code))?;
        if started.answer.head.status != 200 {
            return Err(cut_error(format!(
                "replica resumed the stream with status {}",
                started.answer.head.status
            )));
        }
        self.answer = started.answer;
        self.has_resumed = true;
        Ok(())
    }
}

fn broken_off(detail: &str) -> AttemptEnd {
    AttemptEnd::Unknown {
        code: ResultCode::AnswerCut,
        detail: detail.to_owned(),
    }
}

fn timed_out(limit: Duration) -> AttemptEnd {
    AttemptEnd::Unknown {
        code: ResultCode::UpstreamTimeout,
        detail: format!("no event in {} ms", limit.as_millis()),
    }
}
