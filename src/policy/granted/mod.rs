//! Decisions of the granted form, in which sidecars own the capacity of their upstreams and grant
//! it to routers.

mod dispatch;
mod exchange;
mod fleet;
mod totals;
mod waiting;

pub use {dispatch::*, exchange::*, fleet::*, totals::*, waiting::*};
