use {
    super::PlacementRequest,
    crate::policy::{
        Moment,
        placement::{EngineLatency, TypicalPrompts},
    },
};

/// Largest fraction of the queue time that is reserved for the error of the latency model.
/// Reserving more for a model that is far off would leave engines idle, with too few first
/// tokens to correct it.
const MAX_RESIDUAL_SHARE: f64 = 0.5;

/// Prefill time that may be queued ahead of a request so that it and the service's typical
/// requests still meet their target latencies.
pub struct QueueBudget {
    target_ms: f64,
    typical: Vec<(f64, f64)>, // target latencies in milliseconds, with mean uncached tokens
}

impl QueueBudget {
    /// The budget for a request. Typical requests whose target no engine of the service can
    /// meet count as well, and shrink the budget to 0.
    pub fn new(
        now: Moment,
        request: &PlacementRequest,
        typical: &TypicalPrompts,
    ) -> Self {
        Self {
            target_ms: request.target_latency.as_secs_f64() * 1000.0,
            typical: typical.recent(now, request.service).collect(),
        }
    }

    /// Milliseconds left by the target latencies at an engine after its fixed time, the
    /// prefill of typical requests and the model error.
    pub fn available_ms(
        &self,
        times: EngineLatency,
    ) -> f64 {
        let typical = self.typical.iter();
        let left = typical.map(|(target_ms, tokens)| target_ms - tokens * times.token_ms);
        let left_ms = left.fold(self.target_ms, f64::min);
        let residual_ms = times.residual_ms.min(left_ms * MAX_RESIDUAL_SHARE);
        (left_ms - times.fixed_ms - residual_ms).max(0.0)
    }
}
