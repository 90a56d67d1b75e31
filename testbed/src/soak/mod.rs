//! Fault soak: routers run as real processes, callers keep their connections, and faults are
//! injected at times drawn from a seed. What callers and replicas observed is then checked
//! against the guarantees that the product documents. A run of its own is [`crash_run`], in which
//! a request, or a part of prompts, crashes the replicas that run it.

mod caller_request;
mod callers;
mod checks;
mod config_change;
mod config_series;
mod crash_requests;
mod crash_run;
mod crash_run_result;
mod crash_scenario;
mod drain_check;
mod fault;
mod fault_injection;
mod fault_span;
mod fleet_under_test;
mod given_up_check;
mod lateness;
mod movements;
mod notice_check;
mod notice_injection;
mod notices;
mod operator_injection;
mod operator_work;
mod pause_injection;
mod pauses;
mod published_config;
mod record;
mod replica_slot;
mod schedule;
mod soak;
mod soak_fleet;
mod soak_result;
mod starvation;
mod stream_callers;
mod version_check;
mod version_injection;
mod versions;
mod zone_check;

pub use {
    caller_request::{CallerRequest, RequestKind, Resumption},
    checks::violations,
    config_change::ConfigChange,
    config_series::config_series,
    crash_run::{MAX_LATE_ARRIVALS, MIN_SERVED_SHARE, crash_run},
    crash_run_result::{CrashRunResult, HarmlessOutcome},
    crash_scenario::CrashScenario,
    drain_check::{LateArrivals, late_arrivals},
    fault::Fault,
    fault_span::FaultSpan,
    lateness::Lateness,
    movements::movements,
    notices::notices,
    operator_work::{cordons, replaced_builds, slow_returns},
    pauses::pauses,
    record::{
        Arrival, ChangeSeen, CordonSeen, DrainSeen, Notice, NoticeSeen, Record, ReplicaSeen,
        StartSeen, VersionSeen,
    },
    replica_slot::{EVENTS_PER_STREAM, PLAIN_BODY},
    schedule::{PlannedFault, schedule, silences},
    soak::soak,
    soak_fleet::SoakFleet,
    soak_result::SoakResult,
    starvation::Starvation,
    version_check::StreamCounts,
    versions::{caller_resets, versions},
};
