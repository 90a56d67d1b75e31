//! What a call's attempts say of its request, and what is known of it.

use {
    super::{
        call::Call,
        exchange::{Exchange, REFUSED_RETRY},
        gateway::Gateway,
    },
    crate::{
        catalog::UpstreamEntry,
        codes::{ErrorAnswer, ResultCode},
        policy::{
            Moment, name_hash,
            suspects::{CrashedAttempt, Hold, RequestDigest},
        },
    },
    std::{sync::Arc, time::Duration},
};

impl Exchange {
    /// Refuses the call while its request is held back: replicas ended under it, at this
    /// router or others. Looked at before the first attempt and after each that ended its
    /// replica; one that is let through for a trial may go to another replica meanwhile.
    pub(super) fn check_suspect(&mut self) -> Result<(), ErrorAnswer> {
        if self.checked_after == Some(self.ends) {
            return Ok(());
        }
        self.checked_after = Some(self.ends);
        let now = self.gateway.now();
        let mut suspects = self.gateway.suspects();
        if !suspects.has_holds() {
            return Ok(());
        }
        let request = self.call.digest();
        let Some(left) = suspects.hold_remaining(now, request) else {
            return Ok(());
        };
        drop(suspects);
        log::info!(
            request_id = self.call.request_id.as_str(),
            request = request.to_string().as_str(),
            left_ms = left.as_millis() as u64;
            "request is held back"
        );
        Err(self.held_back(left))
    }

    /// Notes that the replica of the last attempt ended under the request, unless it was
    /// to end. Whether the request is held back from now on.
    pub(super) fn note_replica_end(&mut self) -> bool {
        let Some(run) = &self.run else {
            return false;
        };
        let ended = run.ended(self.gateway.now());
        match self.gateway.note_run_end(&ended) {
            None => false,
            Some(is_held_back) => {
                self.ends += 1;
                is_held_back
            }
        }
    }

    /// A replica answered the request with a success, whole.
    pub(super) fn note_request_success(&self) {
        let request = self.call.digest();
        let now = self.gateway.now();
        let excused = self.gateway.suspects().record_answered(now, request);
        if excused {
            log::info!(
                request_id = self.call.request_id.as_str(),
                request = request.to_string().as_str();
                "what spoke against a request is no longer counted: it was answered"
            );
        }
    }

    fn held_back(
        &mut self,
        left: Duration,
    ) -> ErrorAnswer {
        self.take_back();
        if self.may_have_run {
            return ErrorAnswer::new(ResultCode::OutcomeUnknown);
        }
        ErrorAnswer::new(ResultCode::HeldBack).retry_after(left.max(REFUSED_RETRY))
    }
}

/// A run that was under way when its replica ended, or that was left shortly before.
pub struct EndedRun {
    pub call: Arc<Call>,
    pub entry: Arc<UpstreamEntry>,
    pub sent: Moment,
    pub first_event: Option<Moment>,
    pub ended: Moment,
}

impl Gateway {
    /// Notes that a replica ended under a run, unless it was to end. Whether its request is
    /// held back from now on; none if the end speaks against nobody.
    pub(super) fn note_run_end(
        &self,
        run: &EndedRun,
    ) -> Option<bool> {
        let now = self.now();
        let was_to_end = {
            let mut board = self.board();
            board.record_exit(now, &run.entry);
            // A planned end speaks against no request, also while the list does not know yet.
            board.is_leaving(now, &run.entry)
        };
        if was_to_end {
            return None;
        }
        let replica = run.entry.start_hash();
        let end = CrashedAttempt::observed(
            rand::random(),
            replica,
            run.sent,
            run.first_event,
            run.ended,
        );
        let request = run.call.digest();
        let account = run.call.account.as_deref().map_or(0, name_hash);
        let hold = self.suspects().record_crash(now, request, account, end);
        self.report_wanted.notify_one();
        if let Some(hold) = &hold {
            log_held_back(now, request, hold, &run.call.request_id, "here");
        }
        Some(hold.is_some())
    }
}

/// One line for a request that is held back from now on; `from` says who saw the end.
pub fn log_held_back(
    now: Moment,
    request: RequestDigest,
    hold: &Hold,
    request_id: &str,
    from: &str,
) {
    log::warn!(
        request_id = request_id, request = request.to_string().as_str(), ends = hold.crashes,
        last_end_ms = hold.since.ago_ms(now),
        for_ms = hold.until.remaining(now).as_millis() as u64, from = from;
        "request held back: replicas ended under it"
    );
}
