//! How an attempt ended: what it says of its replica, whether another follows, and what
//! the caller is told.

use {
    super::{
        attempt_end::AttemptEnd,
        exchange::{Exchange, LEAST_TIME, MAX_UNSENT, REFUSED_RETRY},
    },
    crate::{
        codes::{ErrorAnswer, Ran, ResultCode},
        ops::RETRIES,
        policy::Moment,
    },
    std::time::Duration,
};

impl Exchange {
    /// Takes in how an attempt ended: the error for the caller unless another
    /// attempt may follow.
    pub async fn end_attempt(
        &mut self,
        end: &AttemptEnd,
    ) -> Result<(), ErrorAnswer> {
        self.note_evidence(end);
        if let Some(run) = self.run.as_mut().filter(|_| end.is_over_there()) {
            run.is_over();
        }
        self.may_have_run |= !end.did_not_run();
        let replica_ended = end.is_cut() && self.has_replica_ended().await;
        let held_back = replica_ended && self.note_replica_end();
        let goes_on = !held_back && self.goes_on(end);
        self.log_end(end, replica_ended, goes_on);
        if goes_on {
            return Ok(());
        }
        self.take_back();
        Err(self.error(end))
    }

    /// Whether the replica of the last attempt has ended.
    async fn has_replica_ended(&mut self) -> bool {
        let Some(run) = &self.run else {
            return false;
        };
        let gateway = &self.gateway;
        gateway
            .end_checks
            .has_ended(&gateway.pool, &run.entry)
            .await
    }

    /// One line for an attempt that brought no answer.
    fn log_end(
        &self,
        end: &AttemptEnd,
        replica_ended: bool,
        goes_on: bool,
    ) {
        let now = self.gateway.now();
        let age = |since: Moment| now.saturating_sub(since).as_millis() as u64;
        let run = self.run.as_ref();
        log::info!(
            request_id = self.call.request_id.as_str(),
            request = self.call.digest().to_string().as_str(),
            code = end.code().number(),
            replica = self.tried.last().map_or("", |id| id),
            replica_ended = replica_ended,
            sent_ms = run.map(|run| age(run.sent)),
            first_event_ms = run.and_then(|run| run.first_event).map(age),
            sent = self.sent,
            again = goes_on;
            "attempt ended: {end:?}"
        );
    }

    fn goes_on(
        &self,
        end: &AttemptEnd,
    ) -> bool {
        let in_time = self.time_left() > LEAST_TIME;
        let more = self.sent < self.call.route.max_attempts;
        match end {
            AttemptEnd::NotSent { .. } | AttemptEnd::Withheld => {
                in_time && self.unsent < MAX_UNSENT
            }
            AttemptEnd::Refused { .. } => in_time && more && self.take_retry("refused"),
            AttemptEnd::Failed { .. } => self.may_repeat() && self.take_retry("failure"),
            AttemptEnd::Unknown { .. } => self.may_repeat() && self.take_retry("unknown"),
        }
    }

    fn take_retry(
        &self,
        why: &'static str,
    ) -> bool {
        let taken = self.gateway.take_retry(&self.call.service);
        if taken {
            metrics::counter!(RETRIES, "why" => why).increment(1);
        }
        taken
    }

    fn error(
        &self,
        end: &AttemptEnd,
    ) -> ErrorAnswer {
        let error = ErrorAnswer::new(end.code());
        if self.may_have_run {
            let code = if end.did_not_run() {
                ResultCode::OutcomeUnknown
            } else {
                end.code()
            };
            return ErrorAnswer {
                ran: Ran::Unknown,
                ..ErrorAnswer::new(code)
            };
        }
        error.retry_after(self.wait_after(end))
    }

    /// When the caller should come back. The rest that one replica asked for is no matter of
    /// a caller that others may serve.
    fn wait_after(
        &self,
        end: &AttemptEnd,
    ) -> Duration {
        match end {
            AttemptEnd::Refused { status: 503, .. } => {
                let board = self.gateway.board();
                let rest = board.shortest_backoff(self.gateway.now(), &self.call.service);
                rest.unwrap_or_default().max(REFUSED_RETRY)
            }
            AttemptEnd::Refused { retry_after, .. } => retry_after.unwrap_or(REFUSED_RETRY),
            _ => REFUSED_RETRY,
        }
    }

    fn note_evidence(
        &self,
        end: &AttemptEnd,
    ) {
        let Some(run) = &self.run else {
            return;
        };
        let replica = &*run.entry;
        let now = self.gateway.now();
        let mut board = self.gateway.board();
        match end {
            AttemptEnd::Withheld => {}
            AttemptEnd::NotSent { .. } | AttemptEnd::Refused { status: 421, .. } => {
                board.record_unreachable(now, replica);
            }
            AttemptEnd::Refused { .. } => board.record_overload(now, replica),
            AttemptEnd::Failed { .. } | AttemptEnd::Unknown { .. } => {
                board.record_failure(now, replica)
            }
        }
        drop(board);
        if end.code() == ResultCode::UpstreamTimeout {
            self.gateway.pool.forget_resting(&replica.id);
        }
    }
}
