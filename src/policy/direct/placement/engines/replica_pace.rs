use super::{EngineLatency, PaceEvidence};

/// Weight of the prior that a replica is as quick as the others of its service, in samples.
const LASTING_PRIOR: f32 = 4.0;

/// Weight of the prior that it is now as quick as lastingly, in samples.
const RECENT_PRIOR: f32 = 1.0;

/// Factor to the lasting pace from which on recent samples count as a slowdown. Single samples
/// vary by less, and shorter slowdowns are over before they are known.
const MIN_SLOWDOWN: f32 = 2.5;

/// Bounds of the estimated pace.
const PACE_BOUNDS: (f32, f32) = (0.25, 8.0);

/// Time that one incarnation of a replica takes, relative to its service's engines on average:
/// 2.0 is half as quick.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaPace {
    pub lasting: f64,
    pub now: f64, // larger than `lasting` during a slowdown, otherwise equal
}

impl Default for ReplicaPace {
    fn default() -> Self {
        Self {
            lasting: 1.0,
            now: 1.0,
        }
    }
}

impl ReplicaPace {
    /// Estimates the pace from evidence that is relative to the service's mean.
    pub fn new(evidence: PaceEvidence) -> Self {
        let log_bounds = (PACE_BOUNDS.0.ln(), PACE_BOUNDS.1.ln());
        let lasting = evidence
            .lasting
            .mean(LASTING_PRIOR)
            .clamp(log_bounds.0, log_bounds.1);
        let recent = evidence.recent.relative_to(lasting).mean(RECENT_PRIOR);
        let is_slowdown = recent > MIN_SLOWDOWN.ln();
        let slowdown = if is_slowdown { recent } else { 0.0 };
        Self {
            lasting: f64::from(lasting.exp()),
            now: f64::from((lasting + slowdown).min(log_bounds.1).exp()),
        }
    }

    /// The times of the service's engines, scaled by the replica's current pace.
    pub fn of(
        &self,
        times: EngineLatency,
    ) -> EngineLatency {
        EngineLatency {
            fixed_ms: times.fixed_ms * self.now,
            token_ms: times.token_ms * self.now,
            residual_ms: times.residual_ms * self.now,
        }
    }
}
