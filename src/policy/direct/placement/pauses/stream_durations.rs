use std::{collections::HashMap, sync::Arc, time::Duration};

/// Streams after which the weight of an older one has decayed to 1/e.
const DECAY_STREAMS: f64 = 200.0;

/// Mean duration of the streams of each service, in all and per token of their output limit,
/// which most streams do not reach.
#[derive(Debug, Default)]
pub struct StreamDurations {
    services: HashMap<Arc<str>, Sums>,
}

/// Sums that decay with each stream.
#[derive(Debug, Default)]
struct Sums {
    streams: f64,
    seconds: f64,
    tokens: f64,
}

impl StreamDurations {
    /// Adds a stream with an output limit of `tokens` that ended `took` after its first event.
    pub fn record(
        &mut self,
        service: &Arc<str>,
        tokens: u32,
        took: Duration,
    ) {
        let sums = self.services.entry(service.clone()).or_default();
        let factor = 1.0 - 1.0 / DECAY_STREAMS;
        sums.streams = sums.streams * factor + 1.0;
        sums.seconds = sums.seconds * factor + took.as_secs_f64();
        sums.tokens = sums.tokens * factor + f64::from(tokens);
    }

    /// Mean duration of the streams of a service, in seconds; none before the first one ended.
    pub fn mean_s(
        &self,
        service: &str,
    ) -> Option<f64> {
        let sums = self.services.get(service)?;
        Some(sums.seconds / sums.streams)
    }

    /// Expected duration of a stream with an output limit of `tokens`, in seconds; none before
    /// the first one ended.
    pub fn expected_s(
        &self,
        service: &str,
        tokens: u32,
    ) -> Option<f64> {
        let sums = self.services.get(service)?;
        (sums.tokens > 0.0).then(|| sums.seconds / sums.tokens * f64::from(tokens))
    }
}
