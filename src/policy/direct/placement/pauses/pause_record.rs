use {
    crate::policy::{Moment, placement::PauseEvidence},
    std::time::Duration,
};

/// What was seen this long ago counts for a third: how quick an engine is changes seldom.
const FADES: Duration = Duration::from_secs(30);

/// Runs for which what is usual counts beside those that were seen.
const USUAL_RUNS: f64 = 2.0;

/// A run counts as at most this many times as long or as short as usual.
const MOST_RATIO: f64 = 4.0;

/// Less watching than this, in seconds, makes no news of how often streams pause.
const NEWS_WATCHED: f32 = 10.0;

/// News: this many times as often as when it was last said, or as seldom.
const NEWS_FACTOR: f32 = 3.0;

/// Rarer pauses than this, in streams a second watched, are all alike.
const RARE: f32 = 0.05;

/// Between two pieces of news of one replica.
const NEWS_PACE: Duration = Duration::from_secs(10);

/// How the pauses that broke at one replica compare with those that the reading in front
/// of it let expect, as this router saw them.
#[derive(Debug, Clone, Copy, Default)]
pub struct PauseRecord {
    expected: f64,  // streams whose pause should have broken, faded by age
    broken: f64,    // streams whose pause broke, faded likewise
    runs: f64,      // streams that ran whole, faded likewise
    log_ratio: f64, // of these, the sum of ln(time taken / time expected of the service)
    seen: Moment,
    told: f32, // streams a second watched that broke, as of the last news
    told_at: Moment,
}

impl PauseRecord {
    /// Streams were watched there, of which these should have broken.
    pub fn see(
        &mut self,
        now: Moment,
        expected: f64,
        broken: f64,
    ) {
        self.fade(now);
        self.expected += expected;
        self.broken += broken;
    }

    /// A stream ran whole there, so many times as long as is usual at its service.
    pub fn see_run(
        &mut self,
        now: Moment,
        ratio: f64,
    ) {
        self.fade(now);
        self.runs += 1.0;
        self.log_ratio += ratio.clamp(1.0 / MOST_RATIO, MOST_RATIO).ln();
    }

    /// How many times as long as is usual at its service streams run there.
    pub fn run_ratio(
        &self,
        now: Moment,
    ) -> f64 {
        let kept = self.kept(now);
        (self.log_ratio * kept / (self.runs * kept + USUAL_RUNS)).exp()
    }

    /// Pauses that should have broken and that did, as they count now.
    pub fn counts(
        &self,
        now: Moment,
    ) -> (f64, f64) {
        let kept = self.kept(now);
        (self.expected * kept, self.broken * kept)
    }

    /// Whether streams there pause so much more or less often than was said before that
    /// it is news; gives the streams that broke in a second watched.
    pub fn news(
        &mut self,
        now: Moment,
        seen: PauseEvidence,
    ) -> Option<f32> {
        let is_early = now.saturating_sub(self.told_at) < NEWS_PACE;
        if seen.watched_s < NEWS_WATCHED || is_early {
            return None;
        }
        let rate = seen.broken / seen.watched_s;
        let (own, told) = (rate.max(RARE), self.told.max(RARE));
        let is_news = own > told * NEWS_FACTOR || told > own * NEWS_FACTOR;
        is_news.then(|| {
            self.told = rate;
            self.told_at = now;
            rate
        })
    }

    fn fade(
        &mut self,
        now: Moment,
    ) {
        let kept = self.kept(now);
        self.expected *= kept;
        self.broken *= kept;
        self.runs *= kept;
        self.log_ratio *= kept;
        self.seen = now;
    }

    fn kept(
        &self,
        now: Moment,
    ) -> f64 {
        let age = now.saturating_sub(self.seen);
        (-age.as_secs_f64() / FADES.as_secs_f64()).exp()
    }
}
