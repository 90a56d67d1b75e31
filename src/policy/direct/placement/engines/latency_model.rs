use super::{EngineLatency, FirstToken, LatencyReport};

/// The regression counts prompt tokens in thousands.
const THOUSAND: f64 = 1000.0;

/// Prior before the first sample: the fixed time in milliseconds, and the milliseconds for
/// 1,000 tokens, about the geometric mean of the slowest and the fastest known engine (38 and
/// 112 tokens a millisecond).
const PRIOR_MS: (f64, f64) = (50.0, 16.0);

/// A prior counts as two samples of this weight each, one without tokens and one with
/// [`PRIOR_TOKENS`] thousand tokens. A few real samples outweigh it.
const PRIOR_WEIGHT: f64 = 0.3;
const PRIOR_TOKENS: f64 = 8.0;

/// Samples after which the weight of an older one has decayed to 1/e: some seconds of
/// traffic, so that the model follows an engine that changes.
const DECAY_SAMPLES: f64 = 400.0;

/// Samples of a peer that count as one own sample when its model is taken over. About a
/// second of own samples outweighs a full model of a peer.
const PEER_SAMPLES: f64 = 40.0;

/// Queued prefill at which a sample has half the weight. The queue is known less exactly than
/// the prompt, to about 30 ms if five routers report every 10 to 50 ms.
const HALF_WEIGHT_QUEUE_MS: f64 = 30.0;

/// Residuals are clipped to this multiple of the mean residual, so that a single replica that
/// hangs does not distort the model of the service.
const MAX_RESIDUAL_FACTOR: f64 = 3.0;

/// For this many first samples the bound is larger by `FIRST_FACTOR`, since the prior may be far
/// off.
const FIRST_SAMPLES: u64 = 30;
const FIRST_FACTOR: f64 = 10.0;

/// Residuals below this are never clipped.
const MIN_CLIP_MS: f64 = 10.0;

/// Weight of a new sample in the mean residual.
const RESIDUAL_WEIGHT: f64 = 0.03;

/// The mean residual before the first sample, which is typical of a trained model.
const INITIAL_RESIDUAL_MS: f64 = 20.0;

/// Bounds of the modelled time for 1,000 tokens.
const THOUSAND_MS_BOUNDS: (f64, f64) = (0.2, 1000.0);

/// Model of the time to first token at the engines of one service: a fixed time, and a time
/// for each uncached prompt token. Fitted by linear regression with exponentially decaying
/// samples.
#[derive(Debug, Clone, Copy)]
pub struct LatencyModel {
    weight: f64,   // total weight of the samples
    tokens: f64,   // weighted sum of tokens, in thousands
    squares: f64,  // weighted sum of squared tokens
    times: f64,    // weighted sum of times, in milliseconds
    products: f64, // weighted sum of tokens x times
    residual: f64, // mean absolute residual, in milliseconds
    samples: u64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        let prior = EngineLatency {
            fixed_ms: PRIOR_MS.0,
            token_ms: PRIOR_MS.1 / THOUSAND,
            residual_ms: INITIAL_RESIDUAL_MS,
        };
        let mut model = Self::empty();
        model.add_prior(prior, PRIOR_WEIGHT);
        model
    }
}

impl LatencyModel {
    /// The fitted times.
    pub fn times(&self) -> EngineLatency {
        let spread = self.weight * self.squares - self.tokens * self.tokens;
        let slope = (self.weight * self.products - self.tokens * self.times) / spread;
        // The slope is not a number if all prompts have the same length.
        let thousand_ms = if slope.is_finite() { slope } else { PRIOR_MS.1 };
        let thousand_ms = thousand_ms.clamp(THOUSAND_MS_BOUNDS.0, THOUSAND_MS_BOUNDS.1);
        let fixed = (self.times - thousand_ms * self.tokens) / self.weight;
        EngineLatency {
            fixed_ms: fixed.max(0.0),
            token_ms: thousand_ms / THOUSAND,
            residual_ms: self.residual,
        }
    }

    /// Number of first tokens that the model was fitted to.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// Adds the sample of a first token.
    pub fn record(
        &mut self,
        sample: FirstToken,
    ) {
        let tokens = f64::from(sample.tokens) / THOUSAND;
        let times = self.times();
        let expected = times.fixed_ms + times.prefill_ms(sample.tokens);
        let residual = sample.took.as_secs_f64() * 1000.0 - sample.queue_ms - expected;
        let clipped = self.clip(residual);
        // The wider clip of the first samples is for the fitted times, not the mean residual.
        let absolute = clipped.abs().min(self.max_residual());
        self.residual += RESIDUAL_WEIGHT * (absolute - self.residual);
        self.decay();
        let weight = HALF_WEIGHT_QUEUE_MS / (HALF_WEIGHT_QUEUE_MS + sample.queue_ms.max(0.0));
        self.add(weight, tokens, expected + clipped);
        self.samples += 1;
    }

    /// Clips a residual to the current bounds.
    fn clip(
        &self,
        residual: f64,
    ) -> f64 {
        let is_first = self.samples < FIRST_SAMPLES;
        let factor = if is_first { FIRST_FACTOR } else { 1.0 };
        let max = self.max_residual() * factor;
        residual.clamp(-max, max)
    }

    /// Bound of residuals after the first samples, in milliseconds.
    fn max_residual(&self) -> f64 {
        (self.residual * MAX_RESIDUAL_FACTOR).max(MIN_CLIP_MS)
    }

    /// Replaces the model by a prior from a peer's report.
    pub fn restart_from(
        &mut self,
        report: &LatencyReport,
    ) {
        let samples = report.samples.min(DECAY_SAMPLES as u64) as f64;
        *self = Self {
            residual: report.times.residual_ms,
            samples: report.samples,
            ..Self::empty()
        };
        self.add_prior(report.times, samples / PEER_SAMPLES);
    }

    fn empty() -> Self {
        Self {
            weight: 0.0,
            tokens: 0.0,
            squares: 0.0,
            times: 0.0,
            products: 0.0,
            residual: INITIAL_RESIDUAL_MS,
            samples: 0,
        }
    }

    /// Adds two samples of this weight each that fit `times` exactly.
    fn add_prior(
        &mut self,
        times: EngineLatency,
        weight: f64,
    ) {
        let with_tokens_ms = times.fixed_ms + PRIOR_TOKENS * THOUSAND * times.token_ms;
        self.add(weight, 0.0, times.fixed_ms);
        self.add(weight, PRIOR_TOKENS, with_tokens_ms);
    }

    /// Decays the weight of the previous samples by one step.
    fn decay(&mut self) {
        let factor = 1.0 - 1.0 / DECAY_SAMPLES;
        self.weight *= factor;
        self.tokens *= factor;
        self.squares *= factor;
        self.times *= factor;
        self.products *= factor;
    }

    fn add(
        &mut self,
        weight: f64,
        tokens: f64,
        ms: f64,
    ) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.squares += weight * tokens * tokens;
        self.times += weight * ms;
        self.products += weight * tokens * ms;
    }
}
