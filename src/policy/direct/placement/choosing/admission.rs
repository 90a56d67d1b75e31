use {
    super::{Candidate, PlacementRequest},
    crate::{
        policy::{
            placement::{Load, PlacementSettings},
            shares::ShareStatus,
        },
        routing::EngineSpec,
    },
};

/// How many answers of others a request of an account over its share may make late by its
/// reading: hardly any, since what is lent to it is to cost the others nothing.
const MOST_LATE_OVER: f64 = 0.2;

/// What a replica may have in front for one request to be sent there.
#[derive(Debug, Clone, Copy)]
pub struct Admission {
    bound_share: f64,   // of the spare time, that reading may take
    most_memory: f64,   // tokens that running requests may take
    own_weight: f64,    // of the request's own reading against the bound
    most_late: f64,     // answers of others that it may make late
    may_use_idle: bool, // a replica where nothing is read, whatever the bound
}

impl Admission {
    /// The bounds for a request, by how its account stands to its share.
    pub fn new(
        settings: &PlacementSettings,
        request: &PlacementRequest,
        engine: EngineSpec,
        most_are_idle: bool,
    ) -> Self {
        let share = match request.standing {
            ShareStatus::Over { factor, .. } => settings.over_share / f64::from(factor * factor),
            ShareStatus::Within => 1.0,
            ShareStatus::Under => settings.behind_share,
        };
        let most_late = match is_over(request.standing) {
            true => MOST_LATE_OVER,
            false => f64::INFINITY,
        };
        Self {
            bound_share: settings.aim_share * share,
            most_memory: engine.kv_capacity_tokens as f64 * settings.memory_share,
            own_weight: settings.own_weight,
            most_late,
            may_use_idle: most_are_idle || !is_over(request.standing),
        }
    }

    /// By how many milliseconds a replica is beyond the bound: what is in front and the
    /// request's own reading, weighed. `spare_ms` of reading in front leave every usual
    /// request its time there. Where too many streams would pause, all of what is in front
    /// is too much, and the request's own reading besides.
    pub fn excess_ms(
        &self,
        candidate: &Candidate,
        spare_ms: f64,
    ) -> f64 {
        if !self.is_harmless(candidate) {
            return candidate.front_ms + candidate.own_ms;
        }
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
        let in_time = excess_ms <= 0.0 || (is_idle && self.is_harmless(candidate));
        load.running < candidate.offer.view.entry.slots && fits && in_time
    }

    /// Whether the request makes no more answers late there than it may.
    fn is_harmless(
        &self,
        candidate: &Candidate,
    ) -> bool {
        candidate.others_late <= self.most_late
    }
}

/// Accounts over their share leave idle replicas to others, unless most are idle:
/// the account that asks most often would otherwise get most of them.
pub fn is_over(standing: ShareStatus) -> bool {
    matches!(standing, ShareStatus::Over { .. })
}
