use {
    super::{homes::scatter, offer::Offer},
    crate::policy::placement::{EngineLatency, PromptShape},
};

/// A replica that may run a prompt, with the estimates by which candidates are compared.
pub struct Candidate<'v> {
    pub offer: Offer<'v>,
    pub times: EngineLatency,  // of the service's engines, scaled by the replica's pace
    pub usual: EngineLatency,  // average of the service's engines
    pub front_ms: f64,       // prefill queued ahead of the prompt
    pub own_ms: f64,         // prefill and fetching of the prompt itself
    pub pauses_ms: f64,      // expected cost of late stream events
    pub others_late: f64,    // running streams that it is expected to make late
    pub rank: Option<usize>, // among the prompt's preferred replicas, 0 is the first
    pub scatter: f64,        // pseudo-random number from 0 to 1 for this request and replica
    pub is_home: bool,       // it caches all parts that the prompt shares with others
}

impl<'v> Candidate<'v> {
    /// A replica with `front` uncached prompt tokens in its queue, of a service whose engines
    /// take the times `usual` on average.
    pub fn new(
        offer: Offer<'v>,
        prompt: &PromptShape,
        front: u32,
        usual: EngineLatency,
        rank: Option<usize>,
    ) -> Self {
        let times = offer.view.pace.of(usual);
        Self {
            front_ms: times.prefill_ms(front),
            own_ms: times.prefill_ms(offer.reading) + offer.fetch_ms,
            times,
            pauses_ms: 0.0,
            others_late: 0.0,
            usual,
            rank,
            scatter: scatter(prompt, offer.view),
            is_home: offer.keeps_shared(prompt),
            offer,
        }
    }

    /// Expected time to the first token, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.times.fixed_ms + self.front_ms + self.own_ms
    }

    /// Prefill time of some tokens at an average engine of the service, in milliseconds.
    /// Independent of the replica's pace, since it weighs duplicate work for the service.
    pub fn prefill_ms(
        &self,
        tokens: u32,
    ) -> f64 {
        self.usual.prefill_ms(tokens)
    }
}
