//! Where a call goes, and what its account is charged for it.

use {
    super::{
        attempt::Target,
        exchange::{Exchange, REFUSED_RETRY},
        held_work::HeldWork,
    },
    crate::{
        codes::{ErrorAnswer, ResultCode},
        ops::PROMPT_TOKENS,
        policy::{
            Moment, name_hash,
            placement::{Choice, PlacementRequest, PromptShape, RefusalReason, SentPrompt},
            shares::{AccountShare, ShareStatus},
        },
    },
    std::{net::SocketAddr, time::Duration},
};

/// Peers are told at once of a request that reads this many tokens or more: what
/// they send before they know of it waits behind it.
const URGENT_READING: u32 = 1000;

impl Exchange {
    /// Asks the board for a replica and counts the call there.
    pub(super) fn choose(&mut self) -> Result<(Target, Duration), ErrorAnswer> {
        let now = self.gateway.now();
        let call = self.call.clone();
        self.share = self.account_share();
        let standing = self.share.map_or(ShareStatus::Within, |share| share.status);
        let zone = self.gateway.settings().process.zone.clone();
        let mut board = self.gateway.board();
        let request = PlacementRequest {
            service: &call.service,
            zone: &zone,
            engine: call.engine,
            prompt: call.prompt.as_ref(),
            target_latency: call.service_aim,
            target_pause: call.route.target_pause,
            standing,
            tried: &self.tried,
            regions: call.regions.as_ref(),
        };
        board.refresh_estimates(now);
        let choice = board.choose(now, &request);
        self.count_room(now, &choice, standing);
        match choice {
            Choice::Refuse {
                reason,
                retry_after,
            } => {
                drop(board);
                let retry_after = retry_after.max(self.gateway.least_retry());
                Err(self.refusal(reason, retry_after))
            }
            Choice::Send {
                replica,
                prefill_tokens: reading,
                fetch_from,
                queue_ms: front_ms,
                pauses_ms,
                expected,
            } => {
                let sent = call.prompt.as_ref().zip(call.engine);
                let sent = sent.map(|(shape, engine)| SentPrompt {
                    shape,
                    engine,
                    target_latency: call.route.target_latency,
                    target_pause: call.route.target_pause,
                    prefill_tokens: reading,
                    queue_ms: front_ms,
                });
                let number = board.start(now, &replica, sent);
                let entry = board.replica(&replica).map(|view| view.entry.clone());
                let source = fetch_from.and_then(|id| board.replica(&id));
                let fetch_from = source.map(|view| view.entry.address);
                drop(board);
                let (Some(number), Some(entry)) = (number, entry) else {
                    return Err(self.refusal(RefusalReason::NoReplica, REFUSED_RETRY));
                };
                if reading >= URGENT_READING {
                    self.gateway.report_wanted.notify_one();
                }
                self.log_sent(&replica, reading, front_ms, pauses_ms, fetch_from, expected);
                let work = HeldWork::new(self.gateway.clone(), number, replica.clone());
                self.tried.push(replica);
                self.grant();
                Ok((
                    Target {
                        entry,
                        fetch_from,
                        waits: Duration::from_secs_f64(front_ms / 1000.0),
                        work,
                    },
                    expected,
                ))
            }
        }
    }

    /// Whether a prompt of an account that is not over its share found room says what the
    /// replicas make.
    fn count_room(
        &self,
        now: Moment,
        choice: &Choice,
        standing: ShareStatus,
    ) {
        if self.call.prompt.is_none() || matches!(standing, ShareStatus::Over { .. }) {
            return;
        }
        match choice {
            Choice::Send { .. } => self.gateway.shares().record_placement(now, true),
            Choice::Refuse { reason, .. } if *reason == RefusalReason::NoCapacity => {
                self.gateway.shares().record_placement(now, false);
            }
            Choice::Refuse { .. } => {}
        }
    }

    /// One line for the decision, with what decided it.
    fn log_sent(
        &self,
        replica: &str,
        reading: u32,
        front_ms: f64,
        pauses_ms: f64,
        fetch_from: Option<SocketAddr>,
        expected: Duration,
    ) {
        let tokens = self.call.prompt.as_ref().map_or(0, PromptShape::tokens);
        let other = if fetch_from.is_some() {
            "fetched"
        } else {
            "kept"
        };
        metrics::counter!(PROMPT_TOKENS, "kind" => "read").increment(u64::from(reading));
        let saved = u64::from(tokens.saturating_sub(reading));
        metrics::counter!(PROMPT_TOKENS, "kind" => other).increment(saved);
        let fetch_from = fetch_from.map_or_else(String::new, |address| address.to_string());
        let origin = self.gateway.catalog.upstream_origin(replica);
        let share = self.share.unwrap_or_default();
        log::info!(
            request_id = self.call.request_id.as_str(),
            replica = replica,
            service = &*self.call.service,
            account = self.call.account.as_deref().unwrap_or(""),
            tokens = self.call.tokens() as u64,
            standing = share.status.name(),
            account_got = share.usage.allocated as u64,
            account_lately = share.recent_ratio,
            account_level = share.fair_level_tokens(),
            prompt_tokens = tokens,
            reading_tokens = reading,
            front_ms = front_ms as u64,
            pauses_ms = pauses_ms as u64,
            fetch_from = fetch_from.as_str(),
            expected_ms = expected.as_millis() as u64,
            attempt = self.sent + self.unsent + 1,
            config = self.call.config_version,
            upstreams_at = self.gateway.catalog.version().upstreams,
            upstream_at = origin.as_ref().map_or(0, |origin| origin.revision),
            upstream_from = origin.as_ref().map_or("", |origin| &*origin.from),
            upstream_lapsed = origin.as_ref().is_some_and(|origin| origin.is_lapsed),
            left_ms = self.time_left().as_millis() as u64;
            "sent"
        );
    }

    pub(super) fn refusal(
        &mut self,
        reason: RefusalReason,
        retry_after: Duration,
    ) -> ErrorAnswer {
        self.take_back();
        if self.may_have_run {
            return ErrorAnswer::new(ResultCode::OutcomeUnknown);
        }
        let code = match reason {
            RefusalReason::NoReplica => ResultCode::NoReplica,
            RefusalReason::NoRegion => ResultCode::NoRegion,
            RefusalReason::Cordoned => ResultCode::Cordoned,
            RefusalReason::Backoff => ResultCode::Resting,
            RefusalReason::NoCapacity => ResultCode::NoRoom,
            RefusalReason::OverShare => ResultCode::OverShare,
        };
        ErrorAnswer::new(code).retry_after(retry_after)
    }

    pub(super) fn account(&self) -> Option<u32> {
        self.call.account.as_deref().map(name_hash)
    }

    pub(super) fn ask(&self) {
        if let Some(account) = self.account() {
            let now = self.gateway.now();
            self.gateway
                .shares()
                .record_requested(now, account, self.call.tokens());
        }
    }

    fn account_share(&self) -> Option<AccountShare> {
        let account = self.account()?;
        let now = self.gateway.now();
        let asking = self.call.tokens();
        Some(self.gateway.shares().account_share(now, account, asking))
    }

    /// Charges the account, once.
    pub(super) fn grant(&mut self) {
        if self.granted > 0.0 {
            return;
        }
        if let Some(account) = self.account() {
            self.granted = self.call.tokens();
            let now = self.gateway.now();
            self.gateway
                .shares()
                .record_allocated(now, account, self.granted);
        }
    }

    /// Charges it back: it got nothing.
    pub(super) fn take_back(&mut self) {
        if let Some(account) = self.account() {
            let tokens = std::mem::take(&mut self.granted);
            self.gateway.shares().record_unused(account, tokens);
        }
    }
}
