//! What a call's attempts say of its request, and what is known of it.

use {
    super::exchange::{Exchange, REFUSED_RETRY},
    crate::{
        catalog::UpstreamState,
        codes::{ErrorAnswer, ResultCode},
        policy::{short_name, suspects::RunEnd},
    },
    std::time::Duration,
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
        if !suspects.holds_any() {
            return Ok(());
        }
        let request = self.call.digest();
        let Some(left) = suspects.held_back(now, request) else {
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
        let now = self.gateway.now();
        let state = {
            let mut board = self.gateway.board();
            board.ended(now, &run.entry);
            board.state_of(&run.entry.id)
        };
        if state != Some(UpstreamState::Ready) {
            return false;
        }
        self.ends += 1;
        let replica = run.entry.start_name();
        let end = RunEnd::seen(rand::random(), replica, run.sent, run.first_event, now);
        let request = self.call.digest();
        let account = self.call.account.as_deref().map_or(0, short_name);
        let hold = self.gateway.suspects().ended(now, request, account, end);
        self.gateway.report_wanted.notify_one();
        let Some(hold) = hold else {
            return false;
        };
        log::warn!(
            request_id = self.call.request_id.as_str(),
            request = request.to_string().as_str(), ends = hold.ends,
            for_ms = hold.until.left(now).as_millis() as u64, from = "here";
            "request held back: replicas ended under it"
        );
        true
    }

    /// A replica answered the request with a success, whole.
    pub(super) fn note_request_success(&self) {
        let request = self.call.digest();
        let now = self.gateway.now();
        let excused = self.gateway.suspects().answered(now, request);
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
