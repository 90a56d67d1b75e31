//! Requests under which replicas ended: which these are, and how long each is held back.
//!
//! A request is known again by its digest, whatever the id of the try. What speaks
//! against it are runs that were under way when their replica ended, at whichever router;
//! routers tell each other of them, and a whole answer anywhere speaks for it, for a while.

mod answered;
mod book_notes;
mod hold;
mod request_digest;
mod run_end;
mod suspect;
mod suspect_book;
mod suspect_note;
mod told_moment;

pub use {
    hold::Hold,
    request_digest::RequestDigest,
    run_end::RunEnd,
    suspect_book::{HeldRequest, SuspectBook},
    suspect_note::{EndNote, SuspectNote},
    told_moment::ToldMoment,
};
