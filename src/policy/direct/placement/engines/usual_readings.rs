use {
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

    /// The aims that were asked for lately, in milliseconds, and the tokens that such
    /// requests usually read.
    pub fn recent(
        &self,
        now: Moment,
        service: &str,
    ) -> impl Iterator<Item = (f64, f64)> {
        let known = self.services.get(service).into_iter().flatten();
        known
            .filter(move |(_, usual)| now.saturating_sub(usual.seen) <= FORGOTTEN)
            .map(|(aim, usual)| (aim.as_secs_f64() * 1000.0, usual.tokens))
    }
}
