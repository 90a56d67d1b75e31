use {
    super::{homes::scatter, offer::Offer},
    crate::policy::placement::{EngineTimes, PromptShape},
};

/// A replica that may run a prompt, and what speaks for it.
pub struct Candidate<'v> {
    pub offer: Offer<'v>,
    pub times: EngineTimes,  // of its service's engines, at its pace
    pub usual: EngineTimes,  // of its service's engines
    pub front_ms: f64,       // of reading, in front of the prompt
    pub own_ms: f64,         // of its own reading and fetching
    pub pauses_ms: f64,      // what pauses are expected to cost there
    pub others_late: f64,    // streams that it is expected to make late there
    pub rank: Option<usize>, // among the prompt's homes, 0 is the first
    pub scatter: f64,        // 0 to 1, as if drawn for this request and replica
    pub is_home: bool,       // it keeps all that the prompt shares with others
}

impl<'v> Candidate<'v> {
    /// A replica with this much reading in front; `usual` are its service's times.
    pub fn new(
        offer: Offer<'v>,
        prompt: &PromptShape,
        front: u32,
        usual: EngineTimes,
        rank: Option<usize>,
    ) -> Self {
        let times = offer.view.pace.of(usual);
        Self {
            front_ms: times.reading_ms(front),
            own_ms: times.reading_ms(offer.reading) + offer.fetch_ms,
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

    /// Milliseconds until the first token, as far as can be told.
    pub fn expected_ms(&self) -> f64 {
        self.times.fixed_ms + self.front_ms + self.own_ms
    }

    /// How long some of its tokens usually take to read, in milliseconds: what is read
    /// again, or moved, takes room from others at every replica alike.
    pub fn reading_ms(
        &self,
        tokens: u32,
    ) -> f64 {
        self.usual.reading_ms(tokens)
    }
}
