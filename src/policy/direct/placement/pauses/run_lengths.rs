use std::{collections::HashMap, sync::Arc, time::Duration};

/// Streams after which an old one counts for a third.
const MEMORY: f64 = 200.0;

/// How long the streams of each service run, for each token that they may generate at
/// most: most generate fewer.
#[derive(Debug, Default)]
pub struct RunLengths {
    services: HashMap<Arc<str>, Lengths>,
}

/// Sums that fade with each stream.
#[derive(Debug, Default)]
struct Lengths {
    streams: f64,
    seconds: f64,
    tokens: f64,
}

impl RunLengths {
    /// A stream ended that might generate so many tokens and took so long after its first
    /// event.
    pub fn learn(
        &mut self,
        service: &Arc<str>,
        tokens: u32,
        took: Duration,
    ) {
        let lengths = self.services.entry(service.clone()).or_default();
        let kept = 1.0 - 1.0 / MEMORY;
        lengths.streams = lengths.streams * kept + 1.0;
        lengths.seconds = lengths.seconds * kept + took.as_secs_f64();
        lengths.tokens = lengths.tokens * kept + f64::from(tokens);
    }

    /// How long streams run that end, in seconds; none where no stream has ended.
    pub fn usual_s(
        &self,
        service: &str,
    ) -> Option<f64> {
        let lengths = self.services.get(service)?;
        Some(lengths.seconds / lengths.streams)
    }

    /// How long a stream that may generate so many tokens is expected to run, in seconds;
    /// none where no stream has ended.
    pub fn expected_s(
        &self,
        service: &str,
        tokens: u32,
    ) -> Option<f64> {
        let lengths = self.services.get(service)?;
        (lengths.tokens > 0.0).then(|| lengths.seconds / lengths.tokens * f64::from(tokens))
    }
}
