use {
    crate::policy::Moment,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Weight of a new prompt in the moving mean.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Time after the last request with a target latency from which on the target is ignored.
const RETENTION: Duration = Duration::from_secs(20);

/// Mean uncached prompt tokens of requests, by service and by the target latency of their
/// route. A replica's queue must leave each of them enough time.
#[derive(Debug, Default)]
pub struct TypicalPrompts {
    services: HashMap<Arc<str>, HashMap<Duration, MeanTokens>>, // by service and target
}

#[derive(Debug, Clone, Copy)]
struct MeanTokens {
    tokens: f64,
    last_sent: Moment,
}

impl TypicalPrompts {
    /// Adds a request that was sent with this target latency and so many uncached tokens.
    pub fn record(
        &mut self,
        now: Moment,
        service: &Arc<str>,
        target: Duration,
        tokens: u32,
    ) {
        let tokens = f64::from(tokens);
        let targets = self.services.entry(service.clone()).or_default();
        let mean = targets.entry(target).or_insert(MeanTokens {
            tokens,
            last_sent: now,
        });
        mean.tokens += SAMPLE_WEIGHT * (tokens - mean.tokens);
        mean.last_sent = now;
    }

    /// The target latencies of recent requests, in milliseconds, each with the mean uncached
    /// tokens of such requests.
    pub fn recent(
        &self,
        now: Moment,
        service: &str,
    ) -> impl Iterator<Item = (f64, f64)> {
        let known = self.services.get(service).into_iter().flatten();
        known
            .filter(move |(_, mean)| now.saturating_sub(mean.last_sent) <= RETENTION)
            .map(|(target, mean)| (target.as_secs_f64() * 1000.0, mean.tokens))
    }
}
