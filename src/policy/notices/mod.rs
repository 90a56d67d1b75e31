//! What replicas announce in the headers of their answers: that they are leaving, or that they
//! want no requests for a while. It is obeyed whatever the list of upstreams says.

mod asked_rest;
mod incarnation_notice;
mod notice_tracker;
mod replica_notice;

pub use {asked_rest::asked_rest, notice_tracker::NoticeTracker, replica_notice::ReplicaNotice};
