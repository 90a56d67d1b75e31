use {
    super::{preferred_replicas::random_fraction, prefill_plan::PrefillPlan},
    crate::policy::placement::{EngineLatency, PromptShape},
};

/// A replica that may run a prompt, with the estimates by which candidates are compared.
pub struct Candidate<'v> {
    pub plan: PrefillPlan<'v>,
    pub times: EngineLatency, // of the service's engines, scaled by the replica's pace
    pub service_times: EngineLatency, // average of the service's engines
    pub queue_ms: f64,        // prefill queued ahead of the prompt
    pub own_ms: f64,          // prefill and fetching of the prompt itself
    pub pauses_ms: f64,       // expected cost of late stream events
    pub others_late: f64,     // running streams that it is expected to make late
    pub rank: Option<usize>,  // among the prompt's preferred replicas, 0 is the first
    pub random_fraction: f64, // pseudo-random, 0 to 1, by request and replica
    pub caches_shared_parts: bool, // it caches all parts that the prompt shares with others
}

impl<'v> Candidate<'v> {
    /// A replica with `queued_tokens` uncached prompt tokens in its queue, of a service whose
    /// engines take `service_times` on average.
    pub fn new(
        plan: PrefillPlan<'v>,
        prompt: &PromptShape,
        queued_tokens: u32,
        service_times: EngineLatency,
        rank: Option<usize>,
    ) -> Self {
        let times = plan.view.pace.of(service_times);
        Self {
            queue_ms: times.prefill_ms(queued_tokens),
            own_ms: times.prefill_ms(plan.prefill_tokens) + plan.fetch_ms,
            times,
            pauses_ms: 0.0,
            others_late: 0.0,
            service_times,
            rank,
            random_fraction: random_fraction(prompt, plan.view),
            caches_shared_parts: plan.caches_shared_parts(prompt),
            plan,
        }
    }

    /// Expected time to the first token, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.times.fixed_ms + self.queue_ms + self.own_ms
    }

    /// Prefill time of some tokens at an average engine of the service, in milliseconds.
    /// Independent of the replica's pace, since it weighs duplicate work for the service.
    pub fn prefill_ms(
        &self,
        tokens: u32,
    ) -> f64 {
        self.service_times.prefill_ms(tokens)
    }
}
