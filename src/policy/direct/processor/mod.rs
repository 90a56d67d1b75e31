//! A router short of processor: how that shows, and who takes its callers over.

mod busy_gauge;
mod hand_on;
mod lag_gauge;
mod overload_pause;

pub use {
    busy_gauge::BusyGauge,
    hand_on::{Neighbour, neighbour_for},
    lag_gauge::LagGauge,
    overload_pause::OverloadPause,
};
