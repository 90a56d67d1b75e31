//! Slow start: replicas that have just started sustain few requests a second and collapse above
//! that. The limit holds for the sum over all routers, whether or not they reach each other, so
//! only one router of a replica's zone sends to it. With a limit for each router, all of them
//! together would send several times the limit.

mod start_limit;
mod start_pace;
mod zone_routers;

pub use {
    start_limit::{StartBounds, StartLimit},
    start_pace::StartPace,
    zone_routers::ZoneRouters,
};
