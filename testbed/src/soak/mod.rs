//! A fault soak: routers as real processes, callers that keep their
//! connections, and faults from outside at times that a seed draws. What callers
//! and replicas saw is held against the promises of the users' pages.

mod attempt;
mod callers;
mod checks;
mod fault;
mod fault_span;
mod inflict;
mod record;
mod replica_slot;
mod schedule;
mod soak;
mod soak_result;
mod world;

pub use {
    attempt::{Attempt, Kind},
    checks::broken,
    fault::Fault,
    fault_span::FaultSpan,
    record::{ChangeSeen, DrainSeen, Record},
    replica_slot::{EVENTS, PLAIN_BODY},
    schedule::{PlannedFault, schedule, silences},
    soak::soak,
    soak_result::SoakResult,
};
