//! Requests during which replicas crash: records the crashes, and refuses calls whose request
//! is held back because of them.

use {
    super::{
        call::Call,
        exchange::{DEFAULT_RETRY_AFTER, Exchange},
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
    /// Refuses the call while its request is held back, as replicas crashed while they ran it
    /// for this router or others. Checked before the first attempt and after each crash, not
    /// between: a request that was let through as a trial may be sent to another replica.
    pub(super) fn check_suspect(&mut self) -> Result<(), ErrorAnswer> {
        if self.checked_at_crashes == Some(self.crashes) {
            return Ok(());
        }
        self.checked_at_crashes = Some(self.crashes);
        let now = self.gateway.now();
        let mut suspects = self.gateway.suspects();
        if !suspects.has_holds() {
            return Ok(());
        }
        let request = self.call.digest();
        let Some(remaining) = suspects.hold_remaining(now, request) else {
            return Ok(());
        };
        drop(suspects);
        log::info!(
            request_id = self.call.request_id.as_str(),
            request = request.to_string().as_str(),
            left_ms = remaining.as_millis() as u64;
            "request is held back"
        );
        Err(self.held_back(remaining))
    }

    /// Records that the replica of the last attempt crashed while it ran the request. Returns
    /// whether the request is held back from now on.
    pub(super) fn record_crash(&mut self) -> bool {
        let Some(attempt) = &self.last_attempt else {
            return false;
        };
        let interrupted = attempt.interrupted(self.gateway.now());
        match self.gateway.record_interrupted(&interrupted) {
            None => false,
            Some(is_held_back) => {
                self.crashes += 1;
                is_held_back
            }
        }
    }

    /// Records that a replica answered the request completely and with a success.
    pub(super) fn record_request_success(&self) {
        let request = self.call.digest();
        let now = self.gateway.now();
        let is_cleared = self.gateway.suspects().record_answered(now, request);
        if is_cleared {
            log::info!(
                request_id = self.call.request_id.as_str(),
                request = request.to_string().as_str();
                "what spoke against a request is no longer counted: it was answered"
            );
        }
    }

    fn held_back(
        &mut self,
        remaining: Duration,
    ) -> ErrorAnswer {
        self.refund_account();
        if self.may_have_run {
            return ErrorAnswer::new(ResultCode::OutcomeUnknown);
        }
        ErrorAnswer::new(ResultCode::HeldBack).retry_after(remaining.max(DEFAULT_RETRY_AFTER))
    }
}

/// An attempt that was in progress when its replica crashed, or was abandoned shortly before.
pub struct InterruptedAttempt {
    pub call: Arc<Call>,
    pub entry: Arc<UpstreamEntry>,
    pub sent_at: Moment,
    pub first_event_at: Option<Moment>,
    pub interrupted_at: Moment,
}

impl Gateway {
    /// Records that a replica exited while it ran the request, which counts against the request
    /// unless the exit was planned. Returns whether the request is held back from now on; `None`
    /// if the exit was planned.
    pub(super) fn record_interrupted(
        &self,
        attempt: &InterruptedAttempt,
    ) -> Option<bool> {
        let now = self.now();
        let was_planned = {
            let mut replica_table = self.replica_table();
            replica_table.record_exit(now, &attempt.entry);
            // The replica may have announced its exit before the upstream list shows it.
            replica_table.is_leaving(now, &attempt.entry)
        };
        if was_planned {
            return None;
        }
        let replica = attempt.entry.start_hash();
        let crash = CrashedAttempt::observed(
            rand::random(),
            replica,
            attempt.sent_at,
            attempt.first_event_at,
            attempt.interrupted_at,
        );
        let request = attempt.call.digest();
        let account = attempt.call.account.as_deref().map_or(0, name_hash);
        let hold = self.suspects().record_crash(now, request, account, crash);
        self.early_report.notify_one();
        if let Some(hold) = &hold {
            log_held_back(now, request, hold, &attempt.call.request_id, "here");
        }
        Some(hold.is_some())
    }
}

/// Logs that a request is held back from now on. `from` is `here`, or the address of the peer
/// that reported the crash.
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
