use super::candidate::Candidate;

/// Which replicas a request considers first. Sampling keeps many routers that choose by the
/// same reports from all sending to the same replica.
#[derive(Debug, Clone, Copy)]
pub enum CandidateSampling {
    /// All replicas.
    All,
    /// These fractions, from 0 to 1, of the router's own zone and of the other zones.
    Fractions { near: f64, far: f64 },
}

/// Order of precedence of candidates. Within a tier the cheapest wins.
#[derive(Debug, Clone, Copy)]
pub enum CandidateTier {
    /// Sampled replicas of the own zone and, in any zone, the prompt's first preferred
    /// replica and those that cache all its shared parts.
    First,
    /// The other replicas of the own zone.
    Near,
    /// Sampled replicas of other zones.
    FarSampled,
    /// The other replicas of other zones.
    Far,
}

impl CandidateTier {
    /// Number of tiers.
    pub const COUNT: usize = 4;
}

impl CandidateSampling {
    /// The tier of a candidate, which is in the router's own zone if `is_near`.
    pub fn tier(
        &self,
        candidate: &Candidate,
        is_near: bool,
    ) -> CandidateTier {
        let Self::Fractions { near, far } = *self else {
            return CandidateTier::First;
        };
        let is_first_preferred = candidate.rank == Some(0);
        if candidate.caches_shared_parts
            || is_first_preferred
            || (is_near && candidate.random_fraction < near)
        {
            CandidateTier::First
        } else if is_near {
            CandidateTier::Near
        } else if candidate.random_fraction < far {
            CandidateTier::FarSampled
        } else {
            CandidateTier::Far
        }
    }
}
