//! Notices in the headers of the upstream's answers: that it is leaving, or asks for a
//! backoff.

use {
    super::{sidecar::Sidecar, upstream_restart::wait_for_upstream_restart},
    crate::{ops::REPLICA_NOTICES, policy::ReplicaNotice},
    std::sync::{Arc, atomic::Ordering},
};

impl Sidecar {
    /// Applies the notice in the head of an answer.
    pub(super) fn handle_notice(
        self: &Arc<Self>,
        request_id: &str,
        notice: ReplicaNotice,
    ) {
        if notice.is_empty() {
            return;
        }
        metrics::counter!(REPLICA_NOTICES, "says" => notice.kind()).increment(1);
        log::info!(
            request_id = request_id,
            leaves = notice.is_leaving,
            rest_ms = notice.backoff.as_millis() as u64;
            "the upstream said of itself"
        );
        // The backoff that the upstream asks for lasts in full: a shorter one does not end it.
        if !notice.backoff.is_zero() {
            self.back_off(notice.backoff);
        }
        if notice.is_leaving {
            tokio::spawn(self.clone().leave_with_upstream());
        }
    }

    /// Leaves because the upstream announced that it leaves, possibly before the host list
    /// says so, and resumes when another process has started at the upstream's address.
    async fn leave_with_upstream(self: Arc<Self>) {
        if !self.leave().await {
            return;
        }
        wait_for_upstream_restart(self.settings.upstream).await;
        let resumes = {
            let mut table = self.table.lock().expect("table lock");
            let resumes = !self.leaves_permanently.load(Ordering::SeqCst);
            if resumes {
                table.dispatcher.resume();
                self.node.end_leaving();
            }
            resumes
        };
        log::info!(comes_back = resumes; "another upstream has started in place of the one that left");
    }
}
