use super::PaceEvidence;

/// Weight of the prior that the recent mean equals the lasting one, in samples.
const RECENT_PRIOR: f32 = 5.0;

/// Mean pace that one router observes over a service's replicas, as logarithms of the ratio of
/// time taken to time expected. Replicas are judged relative to it, so that a router that
/// reads answers late, a burst, or an inexact model is not held against a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BaselinePace {
    pub lasting: f32,
    pub recent: f32,
}

impl BaselinePace {
    /// The mean of the summed evidence that a router has collected itself of a service.
    pub fn new(evidence: PaceEvidence) -> Self {
        let lasting = match evidence.lasting.weight > 0.0 {
            true => evidence.lasting.mean(0.0),
            false => 0.0,
        };
        let recent = lasting + evidence.recent.relative_to(lasting).mean(RECENT_PRIOR);
        Self { lasting, recent }
    }
}
