use std::time::Duration;

/// Samples with fewer tokens in front say little about the speed.
const LEAST_TOKENS: u32 = 1500;

/// Weight of a new sample.
const WEIGHT: f64 = 0.08;

/// Speeds are believed between these factors of the first guess.
const RANGE: std::ops::RangeInclusive<f64> = 0.1..=4.0;

/// How fast a replica reads prompts, in tokens a millisecond, learnt from how
/// long first tokens took with how much in front.
#[derive(Debug, Clone, Copy)]
pub struct ReadingSpeed {
    guess: f64,
    learnt: f64,
}

impl ReadingSpeed {
    /// A first guess.
    pub fn new(guess: f64) -> Self {
        Self {
            guess,
            learnt: guess,
        }
    }

    /// Tokens a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.learnt
    }

    /// How long it takes to read some tokens.
    pub fn time(
        &self,
        tokens: f64,
    ) -> Duration {
        Duration::from_secs_f64((tokens / self.learnt / 1000.0).max(0.0))
    }

    /// A first token came `took` after it was asked for, with `tokens` to read
    /// until then.
    pub fn learn(
        &mut self,
        tokens: u32,
        took: Duration,
    ) {
        if tokens < LEAST_TOKENS || took.is_zero() {
            return;
        }
        let sample = f64::from(tokens) / took.as_secs_f64() / 1000.0;
        let bounded = sample.clamp(self.guess * RANGE.start(), self.guess * RANGE.end());
        self.learnt += WEIGHT * (bounded - self.learnt);
    }
}
