use {
    super::EngineTimes,
    crate::policy::Moment,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Weight of a new prompt in what is usual.
const WEIGHT: f64 = 0.02;

/// Requests with an aim that nobody asked for in this time are not waited for.
const FORGOTTEN: Duration = Duration::from_secs(20);

/// How many tokens requests usually have to be read, by the aim that their route
/// states: what is in front of a replica must leave each of them its time.
#[derive(Debug, Default)]
pub struct UsualReadings {
    services: HashMap<Arc<str>, HashMap<Duration, Usual>>, // by service and aim
}

#[derive(Debug, Clone, Copy)]
struct Usual {
    tokens: f64,
    seen: Moment,
}

impl UsualReadings {
    /// A request with this aim was sent, of which so many tokens are read.
    pub fn note(
        &mut self,
        now: Moment,
        service: &Arc<str>,
        aim: Duration,
        tokens: u32,
    ) {
        let tokens = f64::from(tokens);
        let aims = self.services.entry(service.clone()).or_default();
        let usual = aims.entry(aim).or_insert(Usual { tokens, seen: now });
        usual.tokens += WEIGHT * (tokens - usual.tokens);
        usual.seen = now;
    }

    /// The least time, in milliseconds, that the reading of a usual request leaves
    /// of its aim, over the aims that were asked for lately. None if none was.
    pub fn least_left_ms(
        &self,
        now: Moment,
        service: &str,
        times: EngineTimes,
    ) -> Option<f64> {
        let recent = self.services.get(service)?.iter();
        recent
            .filter(|(_, usual)| now.saturating_sub(usual.seen) <= FORGOTTEN)
            .map(|(aim, usual)| aim.as_secs_f64() * 1000.0 - usual.tokens * times.token_ms)
            .min_by(f64::total_cmp)
    }
}
