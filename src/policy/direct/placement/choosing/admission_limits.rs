use {
    super::{Candidate, PlacementRequest},
    crate::{
        policy::{
            placement::{Load, PlacementSettings},
            shares::ShareStatus,
        },
        routing::EngineSpec,
    },
};

/// Running streams that the prefill of a request of an account over its share may be expected
/// to make late. It uses spare capacity, which must not slow down other accounts.
const MAX_LATE_OVER_SHARE: f64 = 0.2;

/// Limits on a replica's queue and memory for one request to be admitted there.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionLimits {
    budget_share: f64,  // fraction of the queue budget that may be used
    max_memory: f64,    // tokens that running requests may reserve
    own_weight: f64,    // of the request's own prefill against the budget
    max_late: f64,      // running streams that it may be expected to make late
    may_use_idle: bool, // replicas without queued prefill, whatever the budget
}

impl AdmissionLimits {
    /// The limits for a request, by its account's usage relative to its fair share.
    pub fn new(
        settings: &PlacementSettings,
        request: &PlacementRequest,
        engine: EngineSpec,
        most_are_idle: bool,
    ) -> Self {
        let share = match request.share_status {
            ShareStatus::Over { factor, .. } => settings.over_share / f64::from(factor * factor),
            ShareStatus::Within => 1.0,
            ShareStatus::Under => settings.behind_share,
        };
        let max_late = match is_over_share(request.share_status) {
            true => MAX_LATE_OVER_SHARE,
            false => f64::INFINITY,
        };
        Self {
            budget_share: settings.aim_share * share,
            max_memory: engine.kv_capacity_tokens as f64 * settings.memory_share,
            own_weight: settings.own_weight,
            max_late,
            may_use_idle: most_are_idle || !is_over_share(request.share_status),
        }
    }

    /// Milliseconds by which the queue with the request's weighted own prefill exceeds the
    /// budget `budget_ms`; 0 within it. Where the request would make too many streams late,
    /// all of the queue and of its own prefill is excess.
    pub fn excess_ms(
        &self,
        candidate: &Candidate,
        budget_ms: f64,
    ) -> f64 {
        if !self.keeps_streams_in_time(candidate) {
            return candidate.queue_ms + candidate.own_ms;
        }
        let prefill_ms = candidate.queue_ms + candidate.own_ms * self.own_weight;
        (prefill_ms - budget_ms * self.budget_share).max(0.0)
    }

    /// Whether a replica may take the request, which needs memory for `tokens` tokens.
    pub fn admits(
        &self,
        candidate: &Candidate,
        load: &Load,
        tokens: u32,
        excess_ms: f64,
    ) -> bool {
        let memory = f64::from(load.kv_tokens) + f64::from(tokens);
        let fits = memory <= self.max_memory || load.running == 0;
        let is_idle = load.prefill_tokens == 0 && self.may_use_idle;
        let in_time = excess_ms <= 0.0 || (is_idle && self.keeps_streams_in_time(candidate));
        load.running < candidate.plan.view.entry.slots && fits && in_time
    }

    /// Whether the request is expected to make no more streams late than allowed.
    fn keeps_streams_in_time(
        &self,
        candidate: &Candidate,
    ) -> bool {
        candidate.others_late <= self.max_late
    }
}

/// Whether an account has used more than its fair share.
///
/// Such accounts leave idle replicas to others unless most replicas are idle. Otherwise the
/// account with the highest request rate would take most of them.
pub fn is_over_share(status: ShareStatus) -> bool {
    matches!(status, ShareStatus::Over { .. })
}
