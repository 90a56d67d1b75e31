use super::{EngineReport, EngineTimes, FirstToken};

/// The regression counts prompt tokens in thousands.
const THOUSAND: f64 = 1000.0;

/// What is believed before the first sample: a fixed time in milliseconds, and
/// the milliseconds of 1,000 tokens: the middle, by ratio, of engines that were met
/// (38 to 112 tokens a millisecond). A few samples overrule the guess.
const FIRST_GUESS: (f64, f64) = (50.0, 16.0);

/// What is believed without samples of its own counts as two samples of this
/// weight each, one without tokens and one of [`PRIOR_TOKENS`] thousand.
const GUESS_WEIGHT: f64 = 0.3;
const PRIOR_TOKENS: f64 = 8.0;

/// Samples after which an old one counts for a third: some seconds at the rates
/// of these fleets, so that an engine that changes is found out.
const MEMORY: f64 = 400.0;

/// What a peer has learnt counts as a sample of its own for so many of the peer's:
/// a second of own samples overrules it.
const PEER_SAMPLES: f64 = 40.0;

/// Milliseconds of reading in front at which a sample counts half: how much was
/// in front is known less well than the prompt itself, by some 30 ms where five
/// routers report each 10 to 50 ms.
const FRONT_HALF: f64 = 30.0;

/// A residual beyond this many mean residuals is cut to it, so that one replica
/// that hangs does not change what is believed of all.
const MOST_RESIDUALS: f64 = 3.0;

/// The first samples are cut to this many times that: the guess may be far off.
const FIRST_SAMPLES: u64 = 30;
const FIRST_FACTOR: f64 = 10.0;

/// Residuals below this many milliseconds are never cut.
const LEAST_CUT: f64 = 10.0;

/// Weight of a new sample in the mean residual.
const RESIDUAL_WEIGHT: f64 = 0.03;

/// The mean residual before the first sample, in milliseconds: what is usual
/// later on.
const FIRST_RESIDUAL: f64 = 20.0;

/// The least and most milliseconds that 1,000 tokens are believed to take.
const PACES: (f64, f64) = (0.2, 1000.0);

/// How long the engines of one service take to a first token: a fixed time, and a
/// time for each prompt token that is read. Learnt by linear regression whose
/// samples fade, from the first tokens that came.
#[derive(Debug, Clone, Copy)]
pub struct EngineModel {
    weight: f64,   // of all samples
    tokens: f64,   // weighted sums: of tokens, in thousands,
    squares: f64,  // of their squares,
    times: f64,    // of times, in milliseconds,
    products: f64, // and of tokens x times
    residual: f64, // mean distance of a sample from what was expected, in milliseconds
    samples: u64,
}

impl Default for EngineModel {
    fn default() -> Self {
        let guess = EngineTimes {
            fixed_ms: FIRST_GUESS.0,
            token_ms: FIRST_GUESS.1 / THOUSAND,
            residual_ms: FIRST_RESIDUAL,
        };
        let mut model = Self::empty();
        model.believe(guess, GUESS_WEIGHT);
        model
    }
}

impl EngineModel {
    /// What is believed now.
    pub fn times(&self) -> EngineTimes {
        let spread = self.weight * self.squares - self.tokens * self.tokens;
        let slope = (self.weight * self.products - self.tokens * self.times) / spread;
        // Prompts that are all alike leave no spread: then the slope is not a number.
        let pace = if slope.is_finite() {
            slope
        } else {
            FIRST_GUESS.1
        };
        let pace = pace.clamp(PACES.0, PACES.1);
        let fixed = (self.times - pace * self.tokens) / self.weight;
        EngineTimes {
            fixed_ms: fixed.max(0.0),
            token_ms: pace / THOUSAND,
            residual_ms: self.residual,
        }
    }

    /// How many first tokens it was learnt from.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// A first token came.
    pub fn learn(
        &mut self,
        seen: FirstToken,
    ) {
        let tokens = f64::from(seen.tokens) / THOUSAND;
        let times = self.times();
        let expected = times.fixed_ms + times.reading_ms(seen.tokens);
        let residual = seen.took.as_secs_f64() * 1000.0 - seen.front_ms - expected;
        let cut = self.cut(residual);
        // The guess of the times may be far off at first; how far off beliefs usually are, not.
        let usual = cut.abs().min(self.most_usual());
        self.residual += RESIDUAL_WEIGHT * (usual - self.residual);
        self.fade();
        let weight = FRONT_HALF / (FRONT_HALF + seen.front_ms.max(0.0));
        self.add(weight, tokens, expected + cut);
        self.samples += 1;
    }

    /// A residual as far as it counts.
    fn cut(
        &self,
        residual: f64,
    ) -> f64 {
        let is_first = self.samples < FIRST_SAMPLES;
        let factor = if is_first { FIRST_FACTOR } else { 1.0 };
        let most = self.most_usual() * factor;
        residual.clamp(-most, most)
    }

    /// The most that a residual counts once the guess is overruled.
    fn most_usual(&self) -> f64 {
        (self.residual * MOST_RESIDUALS).max(LEAST_CUT)
    }

    /// Begins from what a peer has learnt.
    pub fn adopt(
        &mut self,
        told: &EngineReport,
    ) {
        let samples = told.samples.min(MEMORY as u64) as f64;
        *self = Self {
            residual: told.times.residual_ms,
            samples: told.samples,
            ..Self::empty()
        };
        self.believe(told.times, samples / PEER_SAMPLES);
    }

    fn empty() -> Self {
        Self {
            weight: 0.0,
            tokens: 0.0,
            squares: 0.0,
            times: 0.0,
            products: 0.0,
            residual: FIRST_RESIDUAL,
            samples: 0,
        }
    }

    /// Adds two samples that fit `times`, of this weight each.
    fn believe(
        &mut self,
        times: EngineTimes,
        weight: f64,
    ) {
        let longest = times.fixed_ms + PRIOR_TOKENS * THOUSAND * times.token_ms;
        self.add(weight, 0.0, times.fixed_ms);
        self.add(weight, PRIOR_TOKENS, longest);
    }

    /// Lets what was learnt so far count a little less.
    fn fade(&mut self) {
        let factor = 1.0 - 1.0 / MEMORY;
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
