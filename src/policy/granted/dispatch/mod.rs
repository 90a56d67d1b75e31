//! Which request a sidecar grants capacity to next, and the demand that routers announce to it.

mod admission;
mod announced_demand;
mod arrival;
mod cost_estimate;
mod demand_line;
mod demand_table;
mod dispatch_settings;
mod dispatcher;
mod dispatcher_arrivals;
mod dispatcher_endings;
mod dispatcher_readers;
mod grant;
mod grant_table;
mod order_mode;
mod ready_target;
mod slot_clock;
mod slot_hold;

pub use {
    admission::Admission,
    announced_demand::{AnnouncedDemand, CurrentDemand},
    arrival::{Arrival, ExchangeId},
    cost_estimate::CostEstimate,
    demand_line::DemandLine,
    demand_table::DemandTable,
    dispatch_settings::DispatchSettings,
    dispatcher::Dispatcher,
    grant::{Grant, GrantNumber, IssuedGrant},
    grant_table::GrantTable,
    order_mode::OrderMode,
    ready_target::ReadyTarget,
    slot_clock::SlotClock,
    slot_hold::SlotHold,
};
