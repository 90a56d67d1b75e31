use super::{EngineTimes, PaceEvidence};

/// Samples by which a replica is believed to be like its fellows.
const LASTING_PRIOR: f32 = 4.0;

/// The same for a moment in which it is slower than it lastingly is.
const RECENT_PRIOR: f32 = 1.0;

/// Recent first tokens that took less than this many times longer than lastingly are no
/// news: single ones differ as much, and what passes sooner is over before it is known.
const LEAST_SPELL: f32 = 2.5;

/// The least and most that is believed.
const BOUNDS: (f32, f32) = (0.25, 8.0);

/// How many times longer one start of a replica takes than its service's engines usually
/// do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaPace {
    pub lasting: f64,
    pub now: f64, // no quicker than that, for a spell or until it is believed to last
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
    /// What evidence speaks for, all of it beside what is usual.
    pub fn new(seen: PaceEvidence) -> Self {
        let bounds = (BOUNDS.0.ln(), BOUNDS.1.ln());
        let lasting = seen.lasting.mean(LASTING_PRIOR).clamp(bounds.0, bounds.1);
        let spell = seen.recent.beside(lasting).mean(RECENT_PRIOR);
        let is_spell = spell > LEAST_SPELL.ln();
        let slower = if is_spell { spell } else { 0.0 };
        Self {
            lasting: f64::from(lasting.exp()),
            now: f64::from((lasting + slower).min(bounds.1).exp()),
        }
    }

    /// The times of a service's engines, as this replica takes now.
    pub fn of(
        &self,
        times: EngineTimes,
    ) -> EngineTimes {
        EngineTimes {
            fixed_ms: times.fixed_ms * self.now,
            token_ms: times.token_ms * self.now,
            residual_ms: times.residual_ms * self.now,
        }
    }
}
