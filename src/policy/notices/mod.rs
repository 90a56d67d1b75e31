//! What replicas announce in the headers of their answers: that they are leaving, or that they
//! want no requests for a while. It is obeyed whatever the list of upstreams says.

mod incarnation_notice;
mod notice_tracker;
mod replica_notice;
mod retry_after;

pub use {
    notice_tracker::NoticeTracker, replica_notice::ReplicaNotice, retry_after::parse_retry_after,
};
