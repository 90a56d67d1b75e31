//! The end of an attempt that brought no answer: records it for the replica, and decides
//! whether another attempt follows or which error the caller gets.

use {
    super::{
        attempt_end::AttemptEnd,
        exchange::{DEFAULT_RETRY_AFTER, Exchange, MAX_UNSENT_ATTEMPTS, MIN_ATTEMPT_TIME},
    },
    crate::{
        codes::{ErrorAnswer, Ran, ResultCode},
        ops::RETRIES,
        policy::Moment,
    },
    std::time::Duration,
};

impl Exchange {
    /// Ends the last attempt. Returns the error for the caller unless another attempt may
    /// follow.
    pub async fn end_attempt(
        &mut self,
        end: &AttemptEnd,
    ) -> Result<(), ErrorAnswer> {
        self.record_outcome(end);
        if let Some(attempt) = self
            .last_attempt
            .as_mut()
            .filter(|_| end.has_stopped_at_replica())
        {
            attempt.finish();
        }
        self.may_have_run |= !end.did_not_run();
        let has_exited = end.is_connection_lost() && self.has_replica_exited().await;
        let is_held_back = has_exited && self.record_crash();
        let tries_again = !is_held_back && self.tries_again(end);
        self.log_end(end, has_exited, tries_again);
        if tries_again {
            return Ok(());
        }
        self.refund_account();
        Err(self.error(end))
    }

    /// Whether the process of the last attempt's replica has exited.
    pub(super) async fn has_replica_exited(&mut self) -> bool {
        let Some(attempt) = &self.last_attempt else {
            return false;
        };
        let gateway = &self.gateway;
        gateway
            .exit_checks
            .has_exited(&gateway.pool, &attempt.entry)
            .await
    }

    /// Logs an attempt that brought no answer.
    fn log_end(
        &self,
        end: &AttemptEnd,
        has_exited: bool,
        tries_again: bool,
    ) {
        let now = self.gateway.now();
        let age = |since: Moment| now.saturating_sub(since).as_millis() as u64;
        let attempt = self.last_attempt.as_ref();
        log::info!(
            request_id = self.call.request_id.as_str(),
            request = self.call.digest().to_string().as_str(),
            parts = if has_exited { self.call.part_ids() } else { String::new() }.as_str(),
            code = end.code().number(),
            replica = self.last_replica(),
            replica_ended = has_exited,
            sent_ms = attempt.map(|attempt| age(attempt.sent_at)),
            first_event_ms = attempt.and_then(|attempt| attempt.first_event_at).map(age),
            sent = self.sent_attempts,
            again = tries_again;
            "attempt ended: {end:?}"
        );
    }

    /// Whether another attempt follows. Takes it from the service's retry budget unless the
    /// request was not sent.
    fn tries_again(
        &self,
        end: &AttemptEnd,
    ) -> bool {
        let has_time = self.time_left() > MIN_ATTEMPT_TIME;
        let has_attempts = self.sent_attempts < self.call.route.max_attempts;
        match end {
            AttemptEnd::NotSent { .. } | AttemptEnd::Withheld => {
                has_time && self.unsent_attempts < MAX_UNSENT_ATTEMPTS
            }
            AttemptEnd::Refused { .. } => has_time && has_attempts && self.take_retry("refused"),
            AttemptEnd::Failed { .. } => self.may_repeat() && self.take_retry("failure"),
            AttemptEnd::Unknown { .. } => self.may_repeat() && self.take_retry("unknown"),
        }
    }

    pub(super) fn take_retry(
        &self,
        reason: &'static str,
    ) -> bool {
        let taken = self.gateway.take_retry(&self.call.service);
        if taken {
            metrics::counter!(RETRIES, "why" => reason).increment(1);
        }
        taken
    }

    /// The error for the caller after the last attempt.
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
        error.retry_after(self.retry_after(end))
    }

    /// Retry-After for the caller. Where one replica asked for a backoff, the caller waits
    /// only until the first replica of the service takes requests again.
    fn retry_after(
        &self,
        end: &AttemptEnd,
    ) -> Duration {
        match end {
            AttemptEnd::Refused { status: 503, .. } => {
                let replica_table = self.gateway.replica_table();
                let backoff =
                    replica_table.shortest_backoff(self.gateway.now(), &self.call.service);
                backoff.unwrap_or_default().max(DEFAULT_RETRY_AFTER)
            }
            AttemptEnd::Refused { retry_after, .. } => retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
            _ => DEFAULT_RETRY_AFTER,
        }
    }

    /// Records in the replica's health how the attempt ended.
    fn record_outcome(
        &self,
        end: &AttemptEnd,
    ) {
        let Some(attempt) = &self.last_attempt else {
            return;
        };
        let replica = &*attempt.entry;
        let now = self.gateway.now();
        let mut replica_table = self.gateway.replica_table();
        match end {
            AttemptEnd::Withheld => {}
            AttemptEnd::NotSent { .. } | AttemptEnd::Refused { status: 421, .. } => {
                replica_table.record_unreachable(now, replica);
            }
            AttemptEnd::Refused { .. } => replica_table.record_overload(now, replica),
            AttemptEnd::Failed { .. } | AttemptEnd::Unknown { .. } => {
                replica_table.record_failure(now, replica)
            }
        }
        drop(replica_table);
        if end.code() == ResultCode::UpstreamTimeout {
            self.gateway.pool.close_idle(&replica.id);
        }
    }
}
