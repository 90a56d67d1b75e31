//! CPU overload of a router: how it is measured, when the router pauses, which requests it
//! refuses, and which neighbour takes over its connections.

mod busy_gauge;
mod lag_gauge;
mod lag_guard;
mod neighbour;
mod overload_pause;

pub use {
    busy_gauge::BusyGauge,
    lag_gauge::LagGauge,
    lag_guard::{MAX_LAG, admits_despite_lag},
    neighbour::{Neighbour, choose_neighbour},
    overload_pause::OverloadPause,
};
