//! Requests and parts of prompts during which replicas crash: records the crashes, and refuses
//! calls that are held back because of them.

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
            suspects::{
                CrashedAttempt, Hold, SuspectDigest, SuspectKind, TrialClaim, Verdict, has_survived,
            },
        },
    },
    std::{sync::Arc, time::Duration},
};

impl Exchange {
    /// Refuses the call while its request, or a part of its prompt, is held back, as replicas
    /// crashed while they ran it for this router or others. Checked before the first attempt and
    /// again once an attempt was sent: a trial is sent to one replica only.
    pub(super) async fn check_suspect(&mut self) -> Result<(), ErrorAnswer> {
        if self.checked_at == Some(self.sent_attempts) {
            return Ok(());
        }
        self.checked_at = Some(self.sent_attempts);
        if !self.gateway.suspects().has_holds() {
            return Ok(());
        }
        let request = self.call.digest();
        let parts = self.call.part_digests();
        loop {
            let may_claim = self.gateway.is_connected();
            let now = self.gateway.now();
            let verdict = {
                let mut suspects = self.gateway.suspects();
                suspects.check(now, request, &parts, may_claim, rand::random())
            };
            let claim = match verdict {
                Verdict::Free => return Ok(()),
                Verdict::Held(time) => {
                    self.log_check("request is held back", Some(time));
                    return Err(self.held_back(time));
                }
                Verdict::Claimed(claim) => claim,
            };
            self.gateway.early_report.notify_one();
            tokio::time::sleep(TrialClaim::WAIT).await;
            if self.gateway.suspects().is_claim_standing(&claim) {
                self.log_check("request is sent as a trial after a hold", None);
                return Ok(());
            }
        }
    }

    /// Whether the call's request, or a part of its prompt, is held back. It is not sent as a
    /// trial.
    pub(super) fn is_suspect(&self) -> bool {
        let mut suspects = self.gateway.suspects();
        if !suspects.has_holds() {
            return false;
        }
        let (request, parts) = (self.call.digest(), self.call.part_digests());
        let now = self.gateway.now();
        let verdict = suspects.check(now, request, &parts, false, rand::random());
        !matches!(verdict, Verdict::Free)
    }

    fn log_check(
        &self,
        message: &str,
        remaining: Option<Duration>,
    ) {
        log::info!(
            request_id = self.call.request_id.as_str(),
            request = self.call.digest().to_string().as_str(),
            parts = self.call.part_ids().as_str(),
            left_ms = remaining.map(|time| time.as_millis() as u64);
            "{message}"
        );
    }

    /// Records that the replica of the last attempt crashed while it ran the request. Returns
    /// whether the request, or a part of its prompt, is held back from now on.
    pub(super) fn record_crash(&mut self) -> bool {
        let Some(attempt) = &self.last_attempt else {
            return false;
        };
        let interrupted = attempt.interrupted(self.gateway.now());
        self.gateway.record_interrupted(&interrupted)
    }

    /// Records that a replica answered the request completely and with a success.
    pub(super) fn record_request_success(&mut self) {
        let request = self.call.digest();
        self.record_answered(SuspectKind::Request, &[request]);
        self.record_parts_answered();
    }

    /// Records, for a stream that goes on, that its replica lives on after it has begun to answer.
    pub(super) fn record_survival(&mut self) {
        let first = self.last_attempt.as_ref().and_then(|it| it.first_event_at);
        if first.is_some_and(|first| has_survived(first, self.gateway.now())) {
            self.record_parts_answered();
        }
    }

    /// Records once for each attempt that its replica did not crash on the parts of the prompt.
    fn record_parts_answered(&mut self) {
        let attempt = self.last_attempt.as_mut();
        if attempt.is_some_and(|attempt| !std::mem::replace(&mut attempt.has_survived, true)) {
            self.record_answered(SuspectKind::Part, &self.call.part_digests());
        }
    }

    fn record_answered(
        &self,
        kind: SuspectKind,
        digests: &[SuspectDigest],
    ) {
        let now = self.gateway.now();
        let mut suspects = self.gateway.suspects();
        let tracker = suspects.tracker(kind);
        let cleared: Vec<SuspectDigest> = digests
            .iter()
            .copied()
            .filter(|digest| tracker.record_answered(now, *digest))
            .collect();
        drop(suspects);
        for digest in cleared {
            self.gateway.early_report.notify_one();
            log::info!(
                request_id = self.call.request_id.as_str(),
                what = kind.name(),
                digest = digest.to_string().as_str();
                "what spoke against a request or part is no longer counted: it was answered"
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
    /// and the parts of its prompt unless the exit was planned. Returns whether the request, or
    /// one of the parts, is held back from now on.
    pub(super) fn record_interrupted(
        &self,
        attempt: &InterruptedAttempt,
    ) -> bool {
        let now = self.now();
        let was_planned = {
            let mut replica_table = self.replica_table();
            replica_table.record_exit(now, &attempt.entry);
            // The replica may have announced its exit before the upstream list shows it.
            replica_table.is_leaving(now, &attempt.entry)
        };
        if was_planned {
            return false;
        }
        let replica = attempt.entry.start_hash();
        let crash = CrashedAttempt::observed(
            rand::random(),
            replica,
            attempt.sent_at,
            attempt.first_event_at,
            attempt.interrupted_at,
        );
        let call = &attempt.call;
        let account = call.account.as_deref().map_or(0, name_hash);
        let (request, parts) = (call.digest(), call.part_digests());
        let holds = self
            .suspects()
            .record_crash(now, request, &parts, account, crash);
        self.early_report.notify_one();
        for held in holds.iter().filter(|held| held.is_new_crash) {
            log_held_back(now, held.digest, &held.hold, &call.request_id, "here");
        }
        !holds.is_empty()
    }
}

/// Logs that a request or part is held back from now on. `from` is `here`, or the address of the
/// peer that reported the crash.
pub fn log_held_back(
    now: Moment,
    digest: SuspectDigest,
    hold: &Hold,
    request_id: &str,
    from: &str,
) {
    log::warn!(
        request_id = request_id, what = hold.kind.name(), digest = digest.to_string().as_str(),
        ends = hold.crashes, last_end_ms = hold.since.ago_ms(now),
        for_ms = hold.remaining(now).as_millis() as u64, from = from;
        "{} held back: replicas ended under it", hold.kind.name()
    );
}
