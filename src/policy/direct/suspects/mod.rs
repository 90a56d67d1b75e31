//! Requests, and parts of prompts, during which replicas crashed: which these are, and how long
//! each is held back.
//!
//! A request is recognised by its digest, whatever its request id, and a part by its id, whatever
//! else a prompt holds. Each attempt that was running when its replica crashed, at any router, is
//! evidence against its request and, if the replica had not lived on after the answer began,
//! against the parts of its prompt. Routers exchange this evidence. An answer at any router clears
//! its request and parts of earlier crashes; it speaks for a request for a while after it as well.
//! After a hold one router of the fleet tries whether it is over.

mod crashed_attempt;
mod hold;
mod last_answers;
mod signed_moment;
mod suspect;
mod suspect_digest;
mod suspect_kind;
mod suspect_report;
mod suspect_table;
mod suspect_tracker;
mod suspects;
mod tracker_reports;
mod trial;
mod update_queue;
mod verdict;

pub use {
    crashed_attempt::{CrashedAttempt, has_survived},
    hold::Hold,
    signed_moment::SignedMoment,
    suspect_digest::SuspectDigest,
    suspect_kind::SuspectKind,
    suspect_report::{CrashReport, SuspectReport},
    suspect_tracker::{CrashHold, HeldSuspect, SuspectTracker},
    suspects::Suspects,
    trial::{Trial, TrialClaim, TrialReport},
    verdict::Verdict,
};
