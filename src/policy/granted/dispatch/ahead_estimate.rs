use {crate::policy::CostEstimate, std::time::Duration};

/// How many granted requests a sidecar holds ready, so that a slot that frees
/// up never waits on a round trip to a router.
#[derive(Debug, Clone, Copy, Default)]
pub struct AheadEstimate {
    round_trip: CostEstimate, // seconds from grant to request
    service: CostEstimate,    // seconds in a slot
}

impl AheadEstimate {
    /// Takes in the time from a grant to its request.
    pub fn observe_round_trip(
        &mut self,
        time: Duration,
    ) {
        self.round_trip.observe(time.as_secs_f64());
    }

    /// Takes in the time a request held its slot.
    pub fn observe_service(
        &mut self,
        time: Duration,
    ) {
        self.service.observe(time.as_secs_f64());
    }

    /// The number to hold ready, at least one and at most `bound`.
    ///
    /// Twice the slots that free up within a round trip, plus one: the doubled
    /// term covers declined grants and uneven service times.
    pub fn target(
        &self,
        slots: u32,
        bound: u32,
    ) -> u32 {
        let service = self.service.expected(1.0).max(0.000_1);
        let freed = f64::from(slots) * self.round_trip.expected(0.0) / service;
        let wanted = (2.0 * freed).ceil() as u32 + 1;
        wanted.min(bound)
    }
}
