//! Chooses the replica for a call, and charges the call to its account.

use {
    super::{
        attempt::AttemptTarget,
        exchange::{DEFAULT_RETRY_AFTER, Exchange},
        in_flight_guard::InFlightGuard,
        request_reader::header_text,
    },
    crate::{
        catalog::{UpstreamEntry, counter_of, era_of},
        codes::{ErrorAnswer, ResultCode},
        ops::PROMPT_TOKENS,
        policy::{
            name_hash,
            placement::{Choice, PlacementRequest, PromptShape, RefusalReason, SentPrompt},
            shares::{AccountShare, ShareStatus},
        },
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Requests with at least this many prefill tokens are reported to peers immediately: what
/// peers send to the replica before they know of them has to wait for the prefill.
const URGENT_PREFILL_TOKENS: u32 = 1000;

impl Exchange {
    /// The successor if one is reserved, or a replica that is chosen now. Returns the expected
    /// duration with it.
    pub(super) fn choose_replica(&mut self) -> Result<(AttemptTarget, Duration), ErrorAnswer> {
        if let Some(successor) = self.successor.take() {
            return Ok(successor);
        }
        self.place(&self.tried.clone())
            .map_err(|(reason, retry_after)| {
                self.record_refusal(reason);
                let retry_after = retry_after.max(self.gateway.min_retry_after());
                self.refusal(reason, retry_after)
            })
    }

    /// Chooses a replica that is not among `excluded`, adds the call to its load and charges it
    /// to its account. Returns the expected duration with it, or why there is no replica and how
    /// long the caller should wait.
    pub(super) fn place(
        &mut self,
        excluded: &[Arc<str>],
    ) -> Result<(AttemptTarget, Duration), (RefusalReason, Duration)> {
        let now = self.gateway.now();
        let call = self.call.clone();
        self.share = self.account_share();
        let share_status = self.share.map_or(ShareStatus::Within, |share| share.status);
        let zone = self.gateway.settings().process.zone.clone();
        let mut replica_table = self.gateway.replica_table();
        let request = PlacementRequest {
            service: &call.service,
            zone: &zone,
            engine: call.engine,
            prompt: call.prompt.as_ref(),
            target_latency: call.shortest_target_latency,
            target_pause: call.route.target_pause,
            share_status,
            tried: excluded,
            regions: call.regions.as_ref(),
            version: self.stream_version,
        };
        replica_table.refresh_estimates(now);
        match replica_table.choose(now, &request) {
            Choice::Refuse {
                reason,
                retry_after,
            } => Err((reason, retry_after)),
            Choice::Send {
                replica,
                prefill_tokens,
                fetch_from,
                queue_ms,
                pauses_ms,
                expected,
            } => {
                let sent = call.prompt.as_ref().zip(call.engine);
                let sent = sent.map(|(shape, engine)| SentPrompt {
                    shape,
                    engine,
                    target_latency: call.route.target_latency,
                    target_pause: call.route.target_pause,
                    prefill_tokens,
                    queue_ms,
                });
                let id = replica_table.start(now, &replica, sent);
                let entry = replica_table
                    .replica(&replica)
                    .map(|view| view.entry.clone());
                let source = fetch_from.and_then(|id| replica_table.replica(&id));
                let fetch_from = source.map(|view| view.entry.address);
                drop(replica_table);
                let (Some(id), Some(entry)) = (id, entry) else {
                    return Err((RefusalReason::NoReplica, DEFAULT_RETRY_AFTER));
                };
                self.record_placement(true);
                if prefill_tokens >= URGENT_PREFILL_TOKENS {
                    self.gateway.early_report.notify_one();
                }
                self.log_sent(
                    &entry,
                    prefill_tokens,
                    queue_ms,
                    pauses_ms,
                    fetch_from,
                    expected,
                );
                let in_flight = InFlightGuard::new(self.gateway.clone(), id, replica.clone());
                self.tried.push(replica);
                self.charge_account();
                Ok((
                    AttemptTarget {
                        entry,
                        fetch_from,
                        queue_wait: Duration::from_secs_f64(queue_ms / 1000.0),
                        in_flight,
                    },
                    expected,
                ))
            }
        }
    }

    fn record_refusal(
        &self,
        reason: RefusalReason,
    ) {
        if reason == RefusalReason::NoCapacity {
            self.record_placement(false);
        }
    }

    /// Records whether a prompt was placed or refused for lack of capacity, for the estimate
    /// of the replicas' total throughput. Requests of accounts over their share do not count.
    fn record_placement(
        &self,
        is_placed: bool,
    ) {
        let is_over = self
            .share
            .is_some_and(|share| matches!(share.status, ShareStatus::Over { .. }));
        if self.call.prompt.is_some() && !is_over {
            let now = self.gateway.now();
            self.gateway.shares().record_placement(now, is_placed);
        }
    }

    /// Logs a placement with the figures that it was based on.
    fn log_sent(
        &self,
        entry: &UpstreamEntry,
        prefill_tokens: u32,
        queue_ms: f64,
        pauses_ms: f64,
        fetch_from: Option<SocketAddr>,
        expected: Duration,
    ) {
        let tokens = self.call.prompt.as_ref().map_or(0, PromptShape::tokens);
        let saved_kind = if fetch_from.is_some() {
            "fetched"
        } else {
            "kept"
        };
        metrics::counter!(PROMPT_TOKENS, "kind" => "read").increment(u64::from(prefill_tokens));
        let saved = u64::from(tokens.saturating_sub(prefill_tokens));
        metrics::counter!(PROMPT_TOKENS, "kind" => saved_kind).increment(saved);
        let fetch_from = fetch_from.map_or_else(String::new, |address| address.to_string());
        let origin = self.gateway.catalog.upstream_origin(&entry.id);
        let share = self.share.unwrap_or_default();
        let upstreams_at = self.gateway.catalog.version().upstreams;
        log::info!(
            request_id = self.call.request_id.as_str(),
            replica = &*entry.id,
            version = &*entry.version,
            resumes = header_text(&self.call.headers, &self.gateway.dialect.names.resumes),
            service = &*self.call.service,
            account = self.call.account.as_deref().unwrap_or(""),
            tokens = self.call.tokens() as u64,
            standing = share.status.name(),
            account_got = share.usage.allocated as u64,
            account_lately = share.recent_ratio,
            account_level = share.fair_level_tokens(),
            prompt_tokens = tokens,
            reading_tokens = prefill_tokens,
            front_ms = queue_ms as u64,
            pauses_ms = pauses_ms as u64,
            fetch_from = fetch_from.as_str(),
            expected_ms = expected.as_millis() as u64,
            attempt = self.tried.len() as u64 + 1,
            config = self.call.config_version,
            era = era_of(upstreams_at),
            upstreams_at = counter_of(upstreams_at),
            upstream_at = origin.as_ref().map_or(0, |origin| counter_of(origin.revision)),
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
        self.refund_account();
        if self.may_have_run {
            return ErrorAnswer::new(ResultCode::OutcomeUnknown);
        }
        let code = match reason {
            RefusalReason::NoReplica => ResultCode::NoReplica,
            RefusalReason::NoRegion => ResultCode::NoRegion,
            RefusalReason::NoVersion => ResultCode::NoVersion,
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

    fn account_share(&self) -> Option<AccountShare> {
        let account = self.account()?;
        let now = self.gateway.now();
        let tokens = self.call.tokens();
        Some(self.gateway.shares().account_share(now, account, tokens))
    }

    /// Charges the account for the call; later calls of this method have no effect.
    pub(super) fn charge_account(&mut self) {
        if self.charged_tokens > 0.0 {
            return;
        }
        if let Some(account) = self.account() {
            self.charged_tokens = self.call.tokens();
            let now = self.gateway.now();
            self.gateway
                .shares()
                .record_allocated(now, account, self.charged_tokens);
        }
    }

    /// Refunds the charge of a call that got no answer.
    pub(super) fn refund_account(&mut self) {
        if let Some(account) = self.account() {
            let tokens = std::mem::take(&mut self.charged_tokens);
            self.gateway.shares().record_unused(account, tokens);
        }
    }
}
