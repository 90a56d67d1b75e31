//! Which attempt follows one whose replica is silent. A replica may be silent for a while and go on,
//! so that its attempt is given up only for another one that is certain to be sent.

use {
    super::{
        attempt_end::AttemptEnd,
        exchange::{Exchange, StartedAnswer},
        sent_attempt::SentAttempt,
        silent_attempt::SilentAttempt,
        timeout_unless_ready::timeout_unless_ready,
    },
    crate::{codes::ErrorAnswer, policy::Moment},
    futures::future::BoxFuture,
    hyper::StatusCode,
    std::{
        future::poll_fn,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// How often a successor is looked for while a replica is silent.
pub(super) const SUCCESSOR_INTERVAL: Duration = Duration::from_millis(250);

/// How long an attempt at a silent replica goes on beside its successor: two replicas must not work
/// on one request for longer than 400 ms.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// How often it is checked whether the overlap is over.
const OVERLAP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A replica with requests in flight that answered nothing for this long counts as silent too.
const SUCCESSOR_SILENCE: Duration = Duration::from_millis(600);

/// How long a successor that is not silent is waited for. Where all replicas are silent they may
/// go on together; if they do not, only the connections to them may be silent.
const SILENT_SUCCESSOR_DELAY: Duration = Duration::from_millis(500);

/// Why there is no successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NoSuccessor {
    NotRepeatable,
    NoRetryLeft,
    HeldBack,
    NoReplica,
}

/// What came of waiting for a silent replica.
pub(super) enum Waited<T> {
    Output(T),                    // of the replica
    Replaced(Box<StartedAnswer>), // by the answer of its successor
    Deadline,
}

/// How an attempt at a silent replica and its successor went side by side.
enum Overlap<T> {
    Successor(Result<Box<StartedAnswer>, ErrorAnswer>),
    Silent(Result<T, AttemptEnd>),
    Expired,
}

impl Exchange {
    /// Waits for what the replica of the last attempt sends, which has been silent since `since`, or
    /// for the answer of a successor, at most until the deadline. A successor continues after the
    /// event with id `last_event`.
    pub(super) async fn await_silent<S: SilentAttempt>(
        &mut self,
        silent: &mut S,
        since: Moment,
        last_event: Option<&str>,
    ) -> Result<Waited<Result<S::Output, AttemptEnd>>, ErrorAnswer> {
        while !self.time_left().is_zero() {
            if self.reserve_successor() {
                let asked = self.ask_successor(silent, since, last_event).await?;
                if let Some(waited) = asked {
                    return Ok(waited);
                }
            }
            let limit = SUCCESSOR_INTERVAL.min(self.time_left());
            let output = poll_fn(|context| silent.poll_output(context));
            if let Some(output) = timeout_unless_ready(limit, output).await {
                return Ok(Waited::Output(output));
            }
        }
        Ok(Waited::Deadline)
    }

    /// Sends the call, for a stream what follows the event with id `last_event`, to the reserved
    /// successor of a replica that has been silent since `since`. The attempt at the silent one
    /// goes on beside it, until the successor answers or has not refused within `MAX_OVERLAP`. If
    /// the silent one goes on before that, the successor is given up. `None` if the successor
    /// failed, and the silent attempt is the last one again.
    async fn ask_successor<S: SilentAttempt>(
        &mut self,
        silent: &mut S,
        since: Moment,
        last_event: Option<&str>,
    ) -> Result<Option<Waited<Result<S::Output, AttemptEnd>>>, ErrorAnswer> {
        self.sent_attempts += u32::from(std::mem::take(&mut self.is_sending));
        self.may_have_run = true;
        self.written_at.store(0, Ordering::Relaxed);
        self.record_silence(since);
        let attempt = self.last_attempt.take();
        let (gateway, written_at) = (self.gateway.clone(), self.written_at.clone());
        let has_expired = || {
            let written_at = written_at.load(Ordering::Relaxed);
            let overlap = gateway
                .now()
                .saturating_sub(Moment::from_millis(written_at));
            written_at > 0 && overlap >= MAX_OVERLAP
        };
        let mut starting = self.start_successor(last_event);
        let overlap = loop {
            // What has arrived is looked at once more, as timers fire before sockets are read.
            let is_last_look = has_expired();
            tokio::select! {
                biased;
                started = &mut starting => break Overlap::Successor(started.map(Box::new)),
                output = poll_fn(|context| silent.poll_output(context)) => {
                    break Overlap::Silent(output);
                }
                () = sleep(OVERLAP_CHECK_INTERVAL) => if is_last_look {
                    break Overlap::Expired;
                }
            }
        };
        match overlap {
            Overlap::Successor(Ok(started)) => {
                silent.give_up();
                Ok(Some(Waited::Replaced(started)))
            }
            Overlap::Successor(Err(_)) => {
                drop(starting);
                self.return_to(attempt, "failed");
                Ok(None)
            }
            Overlap::Silent(Ok(output)) => {
                drop(starting);
                self.count_withdrawn();
                self.return_to(attempt, "is not needed");
                Ok(Some(Waited::Output(Ok(output))))
            }
            Overlap::Silent(Err(_)) | Overlap::Expired => {
                silent.give_up();
                drop(attempt);
                let started = starting.await?;
                Ok(Some(Waited::Replaced(Box::new(started))))
            }
        }
    }

    /// Counts an attempt whose outcome is not awaited.
    fn count_withdrawn(&mut self) {
        if std::mem::take(&mut self.is_sending) {
            match self.written_at.load(Ordering::Relaxed) {
                0 => self.unsent_attempts += 1,
                _ => self.sent_attempts += 1,
            }
        }
    }

    /// Sends the call to replicas until one goes on with it. Boxed, as a successor may have one in
    /// turn.
    fn start_successor<'a>(
        &'a mut self,
        last_event: Option<&'a str>,
    ) -> BoxFuture<'a, Result<StartedAnswer, ErrorAnswer>> {
        Box::pin(self.continue_answer(last_event))
    }

    /// Sends the call, for a stream what follows the event with id `last_event`, to replicas until
    /// one starts to answer without an error.
    pub(super) async fn continue_answer(
        &mut self,
        last_event: Option<&str>,
    ) -> Result<StartedAnswer, ErrorAnswer> {
        loop {
            let started = self.start_answer(last_event).await?;
            let status = started.answer.head.status;
            let continues = match last_event {
                Some(_) => status == StatusCode::OK,
                None => !status.is_server_error(),
            };
            if continues {
                return Ok(started);
            }
            drop(started);
            let status = status.as_u16();
            self.end_attempt(&AttemptEnd::Failed { status }).await?;
        }
    }

    /// Reserves the attempt that follows the last one: takes it from the retry budget and chooses
    /// a replica, at first only one that is not silent itself. Returns false if there is none now.
    pub(super) fn reserve_successor(&mut self) -> bool {
        let Err(reason) = self.find_successor() else {
            self.no_successor_since = None;
            return true;
        };
        if self.no_successor_since.is_none() {
            self.no_successor_since = Some(self.gateway.now());
            log::info!(
                request_id = self.call.request_id.as_str(),
                replica = self.last_replica(),
                sent = self.sent_attempts,
                left_ms = self.time_left().as_millis() as u64;
                "replica is silent and has no successor: {reason:?}"
            );
        }
        false
    }

    /// Records that the replica of the last attempt has been silent since `since`, and that the call
    /// is sent to its successor.
    fn record_silence(
        &self,
        since: Moment,
    ) {
        let Some(attempt) = &self.last_attempt else {
            return;
        };
        let entry = &attempt.entry;
        let now = self.gateway.now();
        self.gateway.replica_table().record_failure(now, entry);
        self.gateway.pool.close_idle(&entry.id);
        log::info!(
            request_id = self.call.request_id.as_str(),
            replica = &*entry.id,
            silent_ms = now.saturating_sub(since).as_millis() as u64,
            successor = self.tried.last().map_or("", |id| id);
            "replica is silent, its successor is asked"
        );
    }

    /// Goes back to an attempt at a silent replica.
    fn return_to(
        &mut self,
        attempt: Option<SentAttempt>,
        outcome: &str, // of the successor
    ) {
        self.last_attempt = attempt;
        self.charge_account();
        log::info!(
            request_id = self.call.request_id.as_str(),
            replica = self.last_replica(),
            sent = self.sent_attempts;
            "the successor of a silent replica {outcome}"
        );
    }

    fn find_successor(&mut self) -> Result<(), NoSuccessor> {
        if !self.may_repeat() {
            return Err(NoSuccessor::NotRepeatable);
        }
        if !self.gateway.has_retry(&self.call.service) {
            return Err(NoSuccessor::NoRetryLeft);
        }
        if self.is_suspect() {
            return Err(NoSuccessor::HeldBack);
        }
        let now = self.gateway.now();
        let silent = self
            .gateway
            .replica_table()
            .silent_replicas(now, SUCCESSOR_SILENCE);
        let tried = self.tried.clone();
        let excluded: Vec<Arc<str>> = tried.iter().cloned().chain(silent).collect();
        let waited = self
            .no_successor_since
            .map(|since| now.saturating_sub(since));
        let may_be_silent = waited.is_some_and(|waited| waited >= SILENT_SUCCESSOR_DELAY);
        let placed = match self.place(&excluded) {
            Err(_) if may_be_silent => self.place(&tried),
            placed => placed,
        };
        let successor = placed.map_err(|_| NoSuccessor::NoReplica)?;
        if !self.take_retry("silent") {
            return Err(NoSuccessor::NoRetryLeft);
        }
        self.successor = Some(successor);
        Ok(())
    }
}
