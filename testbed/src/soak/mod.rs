//! A fault soak: routers as real processes, callers that keep their
//! connections, and faults from outside at times that a seed draws. What callers
//! and replicas saw is held against the promises of the users' pages.

mod attempt;
mod callers;
mod checks;
mod drain_check;
mod ending_kind;
mod ending_result;
mod ending_run;
mod fault;
mod fault_span;
mod inflict;
mod lateness;
mod movements;
mod notice_check;
mod notice_inflict;
mod notices;
mod operator_inflict;
mod operator_work;
mod record;
mod replica_slot;
mod schedule;
mod soak;
mod soak_fleet;
mod soak_result;
mod starvation;
mod world;
mod zone_check;

pub use {
    attempt::{Attempt, Kind},
    checks::broken,
    drain_check::{LateArrivals, late_arrivals},
    ending_kind::EndingKind,
    ending_result::EndingResult,
    ending_run::{MOST_LATE, ending_run},
    fault::Fault,
    fault_span::FaultSpan,
    movements::movements,
    notices::notices,
    operator_work::{cordons, replaced_builds, slow_returns},
    record::{
        Arrival, ChangeSeen, CordonSeen, DrainSeen, Notice, NoticeSeen, Record, ReplicaSeen,
        StartSeen,
    },
    replica_slot::{EVENTS, PLAIN_BODY},
    schedule::{PlannedFault, schedule, silences},
    soak::soak,
    soak_fleet::SoakFleet,
    soak_result::SoakResult,
    starvation::Starvation,
};
