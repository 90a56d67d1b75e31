//! Requests during which replicas crashed: which these are, and how long each is held back.
//!
//! A request is recognised by its digest, whatever its request id. Each attempt at it that was
//! running when its replica crashed, at any router, is evidence against it. Routers exchange this
//! evidence, and a complete answer at any router clears the request for a while.

mod answered_requests;
mod crashed_attempt;
mod hold;
mod request_digest;
mod signed_moment;
mod suspect;
mod suspect_report;
mod suspect_tracker;
mod tracker_reports;

pub use {
    crashed_attempt::CrashedAttempt,
    hold::Hold,
    request_digest::RequestDigest,
    signed_moment::SignedMoment,
    suspect_report::{CrashReport, SuspectReport},
    suspect_tracker::{HeldRequest, SuspectTracker},
};
