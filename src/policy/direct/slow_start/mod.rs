//! Slow start: replicas that have just started sustain few requests a second and collapse above
//! that. The limit holds for the sum over all routers, whether or not they reach each other, so
//! only one router of a replica's zone sends to it. With a limit for each router, all of them
//! together would send several times the limit.

mod slow_start_limit;
mod slow_start_state;
mod zone_routers;

pub use {
    slow_start_limit::{SlowStartBounds, SlowStartLimit},
    slow_start_state::SlowStartState,
    zone_routers::ZoneRouters,
};
