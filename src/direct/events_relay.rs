use {
    super::{
        attempt_end::AttemptEnd,
        event_splitter::EventSplitter,
        exchange::Exchange,
        late_wait::wait_while_alive,
        live_answer::LiveAnswer,
        reply::{ReplyBody, copy_head, cut, replica_reply},
        stream_watch::StreamWatch,
    },
    crate::{codes::ResultCode, ops::STREAMS},
    bytes::Bytes,
    futures::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::{Response, body::Frame},
    std::{io, time::Duration},
    tokio::time::timeout,
};

/// The least silence between events after which another replica is tried.
const LEAST_GAP: Duration = Duration::from_millis(1300);

/// The longest pause that is in time, where the route names none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(200);

/// A stream of events on its way to a caller, from one replica after another.
pub struct EventsRelay {
    exchange: Option<Exchange>, // none once it is given back
    answer: LiveAnswer,
    splitter: EventSplitter,
    done: bool,
    resumed: bool,                 // and nothing has come since
    first_after: Option<Duration>, // from the call's arrival to its first event
    longest_pause: Duration,       // that the replica made
    watch: Option<StreamWatch>,    // of its pauses, where its route says how long they may be
    ended: &'static str,           // how, for the log
}

impl Drop for EventsRelay {
    fn drop(&mut self) {
        let Some(exchange) = &self.exchange else {
            return;
        };
        metrics::counter!(STREAMS, "how" => self.ended).increment(1);
        let took = exchange.gateway.now().saturating_sub(exchange.call.arrived);
        log::info!(
            request_id = exchange.call.request_id.as_str(),
            replica = &**self.answer.work.replica(),
            last_event = self.splitter.last_id().unwrap_or(""),
            how = self.ended,
            first_ms = self.first_after.unwrap_or(took).as_millis() as u64,
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            ms = took.as_millis() as u64;
            "stream ended"
        );
    }
}

impl EventsRelay {
    /// A stream whose head has come.
    pub fn new(
        exchange: Exchange,
        answer: LiveAnswer,
    ) -> Self {
        Self {
            exchange: Some(exchange),
            answer,
            splitter: EventSplitter::default(),
            done: false,
            resumed: false,
            first_after: None,
            longest_pause: Duration::ZERO,
            watch: None,
            ended: "left",
        }
    }

    /// Waits for the first event, then answers with it and all that follow.
    /// Gives the exchange back if none comes.
    pub async fn first(
        mut self,
        limit: Duration,
    ) -> Result<Response<ReplyBody>, (Exchange, AttemptEnd)> {
        let gateway = self.exchange().gateway.clone();
        let replica = self.answer.work.replica().clone();
        let left = self.exchange().time_left();
        let first = wait_while_alive(&gateway, &replica, limit, left, self.piece()).await;
        let first = first.unwrap_or_else(|| Err(silent(limit)));
        let first = match first {
            Ok(first) => first,
            Err(end) => {
                let exchange = self.exchange.take().expect("given back once");
                return Err((exchange, end));
            }
        };
        self.answer.work.first_token();
        let arrived = self.exchange().call.arrived;
        self.first_after = Some(gateway.now().saturating_sub(arrived));
        self.watch_pauses();
        let head = copy_head(&self.answer.head);
        let pieces = stream::unfold((first, self), |(first, mut relay)| async move {
            if let Some(first) = first {
                return Some((Ok(Frame::data(first)), (None, relay)));
            }
            let piece = relay.next().await?;
            Some((piece.map(Frame::data), (None, relay)))
        });
        let body = StreamBody::new(pieces).boxed_unsync();
        Ok(replica_reply(head, body, None))
    }

    /// The next events for the caller, from whichever replica; none at the end.
    async fn next(&mut self) -> Option<Result<Bytes, io::Error>> {
        loop {
            if self.done {
                return None;
            }
            let left = self.exchange().time_left();
            let limit = if self.may_resume() {
                self.longest_gap().min(left)
            } else {
                left
            };
            match self.watched_piece(limit).await {
                Ok(Some(events)) => {
                    if std::mem::take(&mut self.resumed) {
                        self.answer.work.first_token();
                    }
                    return Some(Ok(events));
                }
                Ok(None) => return None,
                Err(end) => {
                    if let Err(error) = self.resume(&end).await {
                        self.done = true;
                        self.ended = "cut";
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    /// The next whole events, awaited up to `limit`. Only time in which the replica is
    /// waited for is a pause of it: a caller that reads slowly makes none.
    async fn watched_piece(
        &mut self,
        limit: Duration,
    ) -> Result<Option<Bytes>, AttemptEnd> {
        let since = self.exchange().gateway.now();
        // Taken out while the replica is waited for; dropped with this wait, it hands in
        // what was seen.
        let mut watch = self.watch.take();
        let aim = watch.as_ref().and_then(StreamWatch::aim);
        let outcome = {
            let piece = self.piece();
            tokio::pin!(piece);
            let first = aim.unwrap_or(limit).min(limit);
            match (timeout(first, &mut piece).await, &mut watch) {
                (Ok(outcome), _) => outcome,
                (Err(_), Some(watch)) if first < limit => {
                    watch.breaks();
                    let left = limit.saturating_sub(first);
                    timeout(left, &mut piece)
                        .await
                        .unwrap_or_else(|_| Err(silent(limit)))
                }
                (Err(_), _) => Err(silent(limit)),
            }
        };
        if self.first_after.is_some() {
            let waited = self.exchange().gateway.now().saturating_sub(since);
            self.longest_pause = self.longest_pause.max(waited);
        }
        match (&outcome, &mut watch) {
            (Ok(Some(_)), Some(watch)) => watch.event(since),
            (Ok(Some(_)), None) => self.watch_pauses(),
            _ => {}
        }
        self.watch = self.watch.take().or(watch);
        outcome
    }

    /// Watches the pauses of the present replica's events from now on.
    fn watch_pauses(&mut self) {
        let exchange = self.exchange();
        let gateway = exchange.gateway.clone();
        let entry = exchange.run.as_ref().map(|run| run.entry.clone());
        let aim = exchange.call.route.target_pause;
        self.watch = entry
            .zip(aim)
            .map(|(entry, aim)| StreamWatch::new(gateway, entry, aim));
    }

    /// The next whole events of the present replica; none at its clean end.
    async fn piece(&mut self) -> Result<Option<Bytes>, AttemptEnd> {
        if self.done {
            return Ok(None);
        }
        loop {
            match self.answer.chunk().await? {
                Some(chunk) => {
                    if let Some(events) = self.splitter.push(&chunk) {
                        self.exchange_mut().note_event();
                        return Ok(Some(events));
                    }
                }
                None => {
                    self.done = true;
                    self.ended = "whole";
                    self.exchange_mut().note_replica_success();
                    self.exchange().learn_run();
                    self.exchange().note_request_success();
                    let rest = self.splitter.take_rest();
                    return Ok((!rest.is_empty()).then_some(rest));
                }
            }
        }
    }

    fn exchange(&self) -> &Exchange {
        self.exchange.as_ref().expect("held until given back")
    }

    fn exchange_mut(&mut self) -> &mut Exchange {
        self.exchange.as_mut().expect("held until given back")
    }

    fn may_resume(&self) -> bool {
        self.exchange().may_repeat() && self.splitter.last_id().is_some()
    }

    fn longest_gap(&self) -> Duration {
        let pause = self
            .exchange()
            .call
            .route
            .target_pause
            .unwrap_or(DEFAULT_PAUSE);
        (pause * 5).max(LEAST_GAP)
    }

    /// Goes on at another replica after the last whole event.
    async fn resume(
        &mut self,
        end: &AttemptEnd,
    ) -> Result<(), io::Error> {
        let resumable = self.may_resume();
        let ended = self.exchange_mut().end_attempt(end).await;
        if let Err(error) = ended {
            return Err(cut(error.code));
        }
        if !resumable {
            return Err(cut(end.code()));
        }
        // Closes the connection first: no two replicas may work on one request.
        self.answer.abandon();
        self.watch = None;
        self.splitter.drop_rest();
        let last = self.splitter.last_id().map(str::to_owned);
        let begun = self.exchange_mut().begin(last.as_deref()).await;
        let begun = begun.map_err(|error| cut(error.code))?;
        if begun.answer.head.status != 200 {
            return Err(cut(format!("resumed with {}", begun.answer.head.status)));
        }
        self.answer = begun.answer;
        self.resumed = true;
        Ok(())
    }
}

fn silent(limit: Duration) -> AttemptEnd {
    AttemptEnd::Unknown {
        code: ResultCode::UpstreamTimeout,
        detail: format!("no event in {} ms", limit.as_millis()),
    }
}
