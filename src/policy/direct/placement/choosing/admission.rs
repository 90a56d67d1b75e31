use {
    super::{Candidate, PlacementRequest},
    crate::{
        policy::{
            placement::{Load, PlacementSettings},
            shares::Standing,
        },
        routing::EngineFacts,
    },
};

/// What a replica may have in front for one request to be sent there.
#[derive(Debug, Clone, Copy)]
pub struct Admission {
    bound_share: f64,   // of the spare time, that reading may take
    most_memory: f64,   // tokens that running requests may take
    own_weight: f64,    // of the request's own reading against the bound
    may_use_idle: bool, // a replica where nothing is read, whatever the bound
}

impl Admission {
    /// The bounds for a request, by how its account stands to its share.
    pub fn new(
        settings: &PlacementSettings,
        request: &PlacementRequest,
        engine: EngineFacts,
        most_are_idle: bool,
    ) -> Self {
        let share = match request.standing {
            Standing::Over { factor, .. } => settings.over_share / f64::from(factor * factor),
            Standing::Within => 1.0,
            Standing::Behind => settings.behind_share,
        };
        Self {
            bound_share: settings.aim_share * share,
            most_memory: engine.memory_tokens as f64 * settings.memory_share,
            own_weight: settings.own_weight,
            may_use_idle: most_are_idle || !is_over(request.standing),
        }
    }

    /// By how many milliseconds a replica is beyond the bound: what is in front and the
    /// request's own reading, weighed. `spare_ms` of reading in front leave every usual
    /// request its time there.
    pub fn excess_ms(
        &self,
        candidate: &Candidate,
        spare_ms: f64,
    ) -> f64 {
        let reading_ms = candidate.front_ms + candidate.own_ms * self.own_weight;
        (reading_ms - spare_ms * self.bound_share).max(0.0)
    }

    /// Whether a replica may take the request, which needs `tokens` of memory.
    pub fn admits(
        &self,
        candidate: &Candidate,
        load: &Load,
        tokens: u32,
        excess_ms: f64,
    ) -> bool {
        let memory = f64::from(load.memory) + f64::from(tokens);
        let fits = memory <= self.most_memory || load.running == 0;
        let is_idle = load.reading == 0 && self.may_use_idle;
        let in_time = excess_ms <= 0.0 || is_idle;
        load.running < candidate.offer.view.entry.slots && fits && in_time
    }
}

/// Accounts over their share leave idle replicas to others, unless most are idle:
/// the account that asks most often would otherwise get most of them.
pub fn is_over(standing: Standing) -> bool {
    matches!(standing, Standing::Over { .. })
}
