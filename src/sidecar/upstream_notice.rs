//! What the upstream says of itself in its answers.

use {
    super::{sidecar::Sidecar, upstream_restart::upstream_restarted},
    crate::{ops::NOTICES, policy::ReplicaNotice},
    std::sync::{Arc, atomic::Ordering},
};

impl Sidecar {
    /// Takes in what the head of an answer says.
    pub(super) fn hear_notice(
        self: &Arc<Self>,
        request_id: &str,
        notice: ReplicaNotice,
    ) {
        if notice.is_empty() {
            return;
        }
        metrics::counter!(NOTICES, "says" => notice.kind()).increment(1);
        log::info!(
            request_id = request_id,
            leaves = notice.is_leaving,
            rest_ms = notice.backoff.as_millis() as u64;
            "the upstream said of itself"
        );
        // What the upstream was told to wait for is its own word, and no other may cut it short.
        if !notice.backoff.is_zero() {
            self.rest(notice.backoff);
        }
        if notice.is_leaving {
            tokio::spawn(self.clone().leave_with_upstream());
        }
    }

    /// Leaves with the upstream, which may say so before the list of hosts does, and takes
    /// work again when another process has started in its place.
    async fn leave_with_upstream(self: Arc<Self>) {
        if !self.leave().await {
            return;
        }
        upstream_restarted(self.settings.upstream).await;
        let comes_back = {
            let mut table = self.table.lock().expect("table lock");
            let comes_back = !self.leaves_for_good.load(Ordering::SeqCst);
            if comes_back {
                table.dispatcher.resume();
                self.node.end_leaving();
            }
            comes_back
        };
        log::info!(comes_back = comes_back; "another upstream has started in place of the one that left");
    }
}
