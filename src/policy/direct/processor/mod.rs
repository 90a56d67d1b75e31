//! CPU overload of a router: how it is measured, when the router pauses, and which neighbour
//! takes over its connections.

mod busy_gauge;
mod lag_gauge;
mod neighbour;
mod overload_pause;

pub use {
    busy_gauge::BusyGauge,
    lag_gauge::LagGauge,
    neighbour::{Neighbour, choose_neighbour},
    overload_pause::OverloadPause,
};
