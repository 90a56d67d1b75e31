use serde::{Deserialize, Serialize};

/// Modelled time of an engine from receiving a prompt to its first token.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineLatency {
    pub fixed_ms: f64,    // independent of the prompt
    pub token_ms: f64,    // for each uncached prompt token
    pub residual_ms: f64, // mean absolute error of the model
}

impl EngineLatency {
    /// Prefill time of some uncached tokens, in milliseconds.
    pub fn prefill_ms(
        &self,
        tokens: u32,
    ) -> f64 {
        f64::from(tokens) * self.token_ms
    }

    /// Whether the fixed time or the time for a token differs from the other's by more than
    /// this fraction of it.
    pub fn differs(
        &self,
        other: &Self,
        fraction: f64,
    ) -> bool {
        let is_far = |own: f64, other: f64| (own - other).abs() > other.abs() * fraction;
        is_far(self.fixed_ms, other.fixed_ms) || is_far(self.token_ms, other.token_ms)
    }
}
