use {crate::policy::Moment, std::time::Duration};

/// Time constant of the decay, after which a request counts for a third: longer than a burst of
/// requests lasts, and shorter than the window over which accounts are compared.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Placed requests that are assumed in addition to the counted ones, as a few refusals say little.
const ASSUMED_PLACED: f32 = 3.0;

/// The fraction of recent requests that found a replica, among those of accounts that were not
/// over their share.
#[derive(Debug, Default)]
pub struct PlacementRate {
    updated: Moment,
    requests: f32,
    placed: f32,
}

impl PlacementRate {
    /// Counts a request that was placed on a replica, or refused for lack of capacity.
    pub fn count(
        &mut self,
        now: Moment,
        is_placed: bool,
    ) {
        let decay = self.decay(now);
        self.requests = self.requests * decay + 1.0;
        self.placed = self.placed * decay + if is_placed { 1.0 } else { 0.0 };
        self.updated = now;
    }

    /// The estimated fraction of declared capacity that is still free: 1 if all requests are
    /// placed, 0 if half of them or fewer are.
    pub fn spare(
        &self,
        now: Moment,
    ) -> f32 {
        let decay = self.decay(now);
        let placed =
            (self.placed * decay + ASSUMED_PLACED) / (self.requests * decay + ASSUMED_PLACED);
        (placed * 2.0 - 1.0).max(0.0)
    }

    fn decay(
        &self,
        now: Moment,
    ) -> f32 {
        let age = now.saturating_sub(self.updated);
        (-age.as_secs_f32() / DECAY_TIME.as_secs_f32()).exp()
    }
}
