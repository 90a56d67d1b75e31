use {crate::policy::CostEstimate, std::time::Duration};

/// How many granted requests a sidecar should hold ready, so that a slot that frees up does not
/// wait for a round trip to a router.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadyTarget {
    round_trip: CostEstimate,   // seconds from grant to request
    service_time: CostEstimate, // seconds in a slot
}

impl ReadyTarget {
    /// Records the time from a grant to the arrival of its request.
    pub fn observe_round_trip(
        &mut self,
        time: Duration,
    ) {
        self.round_trip.observe(time.as_secs_f64());
    }

    /// Records the time for which a request held its slot.
    pub fn observe_service(
        &mut self,
        time: Duration,
    ) {
        self.service_time.observe(time.as_secs_f64());
    }

    /// The number to hold ready: at least one, but at most `bound`.
    ///
    /// Twice the slots that free up within a round trip, plus one: the doubled
    /// term covers declined grants and uneven service times.
    pub fn target(
        &self,
        slots: u32,
        bound: u32,
    ) -> u32 {
        let service_time = self.service_time.expected(1.0).max(0.000_1);
        let freed = f64::from(slots) * self.round_trip.expected(0.0) / service_time;
        let wanted = (2.0 * freed).ceil() as u32 + 1;
        wanted.min(bound)
    }
}
