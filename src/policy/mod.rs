//! Decisions: order, shares, demand, grants, totals, membership, at most once.
//!
//! Nothing in here does I/O, reads a clock, draws a random number or locks.

mod account_queue;
mod admission;
mod ahead_estimate;
mod announced_demand;
mod arrival;
mod attempts;
mod busy_gauge;
mod config_gate;
mod cost_estimate;
mod demand_line;
mod demand_table;
mod dispatch_settings;
mod dispatcher;
mod dispatcher_arrivals;
mod dispatcher_endings;
mod dispatcher_readers;
mod drain_rate;
mod finished;
mod grant;
mod grant_table;
mod hand_on;
mod host_set;
mod incarnation;
mod keeper;
mod kept_account;
mod key_memory;
mod lag_gauge;
mod ledger;
mod ledger_entry;
mod membership;
mod moment;
mod order_mode;
mod overload_pause;
mod pause_detector;
pub mod placement;
mod prefix_memory;
mod reach;
mod rendezvous;
mod report;
mod retry_budget;
mod router_exchange;
pub mod shares;
mod short_name;
mod sidecar_exchange;
mod slot_clock;
mod slot_hold;
mod standstill;
pub mod suspects;
mod teller;
mod totals_mode;
mod waiting_request;
mod waiting_room;

pub use {
    account_queue::AccountQueue,
    admission::Admission,
    ahead_estimate::AheadEstimate,
    announced_demand::{AnnouncedDemand, CurrentDemand},
    arrival::{Arrival, ExchangeId},
    attempts::Attempts,
    busy_gauge::BusyGauge,
    config_gate::{ConfigGate, Verdict},
    cost_estimate::CostEstimate,
    demand_line::DemandLine,
    demand_table::DemandTable,
    dispatch_settings::DispatchSettings,
    dispatcher::Dispatcher,
    drain_rate::DrainRate,
    finished::Finished,
    grant::{Grant, GrantNumber, IssuedGrant},
    grant_table::GrantTable,
    hand_on::{Neighbour, neighbour_for},
    host_set::HostSet,
    incarnation::Incarnation,
    keeper::Keeper,
    kept_account::KeptAccount,
    key_memory::{KeyMemory, KeyVerdict},
    lag_gauge::LagGauge,
    ledger::Ledger,
    ledger_entry::LedgerEntry,
    membership::{Membership, Sighting},
    moment::Moment,
    order_mode::OrderMode,
    overload_pause::OverloadPause,
    pause_detector::PauseDetector,
    prefix_memory::{PrefixHash, PrefixMemory},
    reach::Reach,
    rendezvous::rendezvous,
    report::{ReportEntry, TotalEntry},
    retry_budget::RetryBudget,
    router_exchange::{AnswerEvent, RouterExchange},
    short_name::{mix, short_name, stable_hash},
    sidecar_exchange::SidecarExchange,
    slot_clock::SlotClock,
    slot_hold::SlotHold,
    standstill::Standstill,
    teller::{Teller, TellerScope},
    totals_mode::TotalsMode,
    waiting_request::WaitingRequest,
    waiting_room::{Shed, WaitingBounds, WaitingRoom},
};
