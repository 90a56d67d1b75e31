//! Replicas that have just started bear few requests a second and collapse beyond. How
//! many the fleet may send is bounded, summed over all routers, in touch with each other
//! or not; so one router of a replica's zone sends there and the others do not. Routers
//! that each kept a bound of their own would send several times that together.

mod start_limit;
mod start_pace;
mod zone_routers;

pub use {
    start_limit::{StartBounds, StartLimit},
    start_pace::StartPace,
    zone_routers::ZoneRouters,
};
