use super::PaceEvidence;

/// Samples by which the usual ratio of the moment begins at the lasting one.
const RECENT_PRIOR: f32 = 5.0;

/// What one router sees of a service's replicas on average, as logarithms of time taken by
/// time expected. What is seen of one replica counts beside it: a router that reads answers
/// late, a burst, or a model that is off speak against no replica.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UsualPace {
    pub lasting: f32,
    pub recent: f32,
}

impl UsualPace {
    /// By the sum of all that a router has seen itself of a service.
    pub fn new(seen: PaceEvidence) -> Self {
        let lasting = match seen.lasting.weight > 0.0 {
            true => seen.lasting.mean(0.0),
            false => 0.0,
        };
        let recent = lasting + seen.recent.beside(lasting).mean(RECENT_PRIOR);
        Self { lasting, recent }
    }
}
