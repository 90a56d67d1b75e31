//! Which attempt follows one whose replica is silent. A replica may be silent for a while and go on,
//! so that its attempt is given up only for another one that is certain to be sent.

use {
    super::{
        attempt_end::AttemptEnd,
        exchange::{Exchange, StartedAnswer},
        sent_attempt::SentAttempt,
        timeout_unless_ready::timeout_unless_ready,
    },
    crate::{codes::ErrorAnswer, policy::Moment},
    futures::future::BoxFuture,
    hyper::StatusCode,
    std::{pin::Pin, time::Duration},
};

/// How often a successor is looked for while a replica is silent.
pub(super) const SUCCESSOR_INTERVAL: Duration = Duration::from_millis(250);

/// How long an attempt at a silent replica goes on beside its successor: two replicas must not work
/// on one request for longer than 400 ms.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

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

impl Exchange {
    /// Waits for what the replica of the last attempt sends, which has been silent since `since`, or
    /// for the answer of a successor, at most until the deadline. A successor continues after the
    /// event with id `last_event`. `awaited` is dropped when the replica is given up.
    pub(super) async fn await_silent<T>(
        &mut self,
        mut awaited: Pin<&mut Option<impl Future<Output = T>>>,
        since: Moment,
        last_event: Option<&str>,
    ) -> Result<Waited<T>, ErrorAnswer> {
        while !self.time_left().is_zero() {
            if self.reserve_successor() {
                let give_up = || awaited.set(None);
                if let Some(started) = self.ask_successor(since, last_event, give_up).await? {
                    return Ok(Waited::Replaced(Box::new(started)));
                }
            }
            let limit = SUCCESSOR_INTERVAL.min(self.time_left());
            let Some(output) = awaited.as_mut().as_pin_mut() else {
                break;
            };
            if let Some(output) = timeout_unless_ready(limit, output).await {
                return Ok(Waited::Output(output));
            }
        }
        Ok(Waited::Deadline)
    }

    /// Sends the call, for a stream what follows the event with id `last_event`, to the reserved
    /// successor of a replica that has been silent since `since`. The attempt at the silent one
    /// goes on beside it; `give_up` ends it when the successor answers, or has not refused within
    /// `MAX_OVERLAP`. `None` if the successor failed before that, and the attempt at the silent
    /// replica is the last one again.
    pub(super) async fn ask_successor(
        &mut self,
        since: Moment,
        last_event: Option<&str>,
        give_up: impl FnOnce(),
    ) -> Result<Option<StartedAnswer>, ErrorAnswer> {
        self.sent_attempts += u32::from(std::mem::take(&mut self.is_sending));
        self.record_silence(since);
        let silent = self.last_attempt.take();
        let mut starting = self.start_successor(last_event);
        match timeout_unless_ready(MAX_OVERLAP, &mut starting).await {
            Some(Ok(started)) => {
                give_up();
                Ok(Some(started))
            }
            Some(Err(_)) => {
                drop(starting);
                self.return_to(silent);
                Ok(None)
            }
            None => {
                give_up();
                drop(silent);
                starting.await.map(Some)
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
            self.waiting_on_since = None;
            return true;
        };
        if self.waiting_on_since.is_none() {
            self.waiting_on_since = Some(self.gateway.now());
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

    /// Goes back to an attempt at a silent replica, as its successor failed.
    fn return_to(
        &mut self,
        attempt: Option<SentAttempt>,
    ) {
        self.last_attempt = attempt;
        self.charge_account();
        log::info!(
            request_id = self.call.request_id.as_str(),
            replica = self.last_replica(),
            sent = self.sent_attempts;
            "the successor of a silent replica failed"
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
        let mut excluded = self.tried.clone();
        let now = self.gateway.now();
        let waited = self.waiting_on_since.map(|since| now.saturating_sub(since));
        if waited.is_none_or(|waited| waited < SILENT_SUCCESSOR_DELAY) {
            let replica_table = self.gateway.replica_table();
            excluded.extend(replica_table.silent_replicas(now, SUCCESSOR_SILENCE));
        }
        let successor = self.place(&excluded).map_err(|_| NoSuccessor::NoReplica)?;
        if !self.take_retry("silent") {
            return Err(NoSuccessor::NoRetryLeft);
        }
        self.successor = Some(successor);
        Ok(())
    }
}
