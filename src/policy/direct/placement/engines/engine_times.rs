use serde::{Deserialize, Serialize};

/// What is believed of how long an engine takes to a first token.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineTimes {
    pub fixed_ms: f64,    // whatever the prompt
    pub token_ms: f64,    // for each prompt token that is read
    pub residual_ms: f64, // mean distance of what came from what was expected
}

impl EngineTimes {
    /// How long some tokens take to read, in milliseconds.
    pub fn reading_ms(
        &self,
        tokens: u32,
    ) -> f64 {
        f64::from(tokens) * self.token_ms
    }

    /// Whether one of the times differs from another's by more than a part of it.
    pub fn differs(
        &self,
        other: &Self,
        part: f64,
    ) -> bool {
        let far = |own: f64, other: f64| (own - other).abs() > other.abs() * part;
        far(self.fixed_ms, other.fixed_ms) || far(self.token_ms, other.token_ms)
    }
}
