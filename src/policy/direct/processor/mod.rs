//! CPU overload of a router: how it is measured, when the router pauses, and which neighbour
//! takes over its connections.

mod busy_gauge;
mod hand_on;
mod lag_gauge;
mod overload_pause;

pub use {
    busy_gauge::BusyGauge,
    hand_on::{Neighbour, choose_neighbour},
    lag_gauge::LagGauge,
    overload_pause::OverloadPause,
};
