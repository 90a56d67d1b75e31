use {
    super::PlacementRequest,
    crate::policy::{
        Moment,
        placement::{EngineTimes, UsualReadings},
    },
};

/// The most of the time that is left for reading in front which is kept back for what the
/// belief is off. Beliefs that are further off are not made up for by engines that stand
/// idle, and too few first tokens would come to correct them.
const MOST_RESIDUAL: f64 = 0.5;

/// How much reading may be in front of a request so that it, and any other that is usual at
/// its service, still meets its aim.
pub struct SpareTime {
    aim_ms: f64,
    usual: Vec<(f64, f64)>, // aims in milliseconds, and the tokens that such requests read
}

impl SpareTime {
    /// What counts for a request. Usual ones that no engine of the service would bring to
    /// their aims count as well: they get the least wait.
    pub fn new(
        now: Moment,
        request: &PlacementRequest,
        usual: &UsualReadings,
    ) -> Self {
        Self {
            aim_ms: request.aim.as_secs_f64() * 1000.0,
            usual: usual.recent(now, request.service).collect(),
        }
    }

    /// What the aims leave at an engine beyond its fixed time, the reading of the usual
    /// requests, and what the belief is usually off, in milliseconds.
    pub fn ms(
        &self,
        times: EngineTimes,
    ) -> f64 {
        let usual = self.usual.iter();
        let left = usual.map(|(aim_ms, tokens)| aim_ms - tokens * times.token_ms);
        let left_ms = left.fold(self.aim_ms, f64::min);
        let residual_ms = times.residual_ms.min(left_ms * MOST_RESIDUAL);
        (left_ms - times.fixed_ms - residual_ms).max(0.0)
    }
}
