//! Requests during which replicas crashed: which these are, and how long each is held back.
//!
//! A request is recognised by its digest, whatever its request id. Evidence against it are
//! attempts that were running when their replica crashed, at any router. Routers exchange this
//! evidence, and a complete answer at any router clears the request for a while.

mod answered_requests;
mod book_notes;
mod hold;
mod request_digest;
mod run_end;
mod suspect;
mod suspect_report;
mod suspect_tracker;
mod told_moment;

pub use {
    hold::Hold,
    request_digest::RequestDigest,
    run_end::RunEnd,
    suspect_report::{CrashReport, SuspectReport},
    suspect_tracker::{HeldRequest, SuspectTracker},
    told_moment::ToldMoment,
};
