use {
    super::gateway::Gateway,
    crate::{
        catalog::UpstreamEntry,
        ops::STREAMS_OVER_TARGET_PAUSE,
        policy::{
            Moment,
            placement::{PauseEvidence, PauseWatch},
        },
    },
    std::{sync::Arc, time::Duration},
};

/// Measures the pauses of one stream at one replica, and reports them as evidence of the
/// replica's performance.
pub struct StreamWatch {
    gateway: Arc<Gateway>,
    entry: Arc<UpstreamEntry>,
    watch: PauseWatch,
}

impl Drop for StreamWatch {
    fn drop(&mut self) {
        let evidence = self.watch.end(self.gateway.now());
        self.report(evidence);
    }
}

impl StreamWatch {
    /// Starts after an event of the stream.
    pub fn new(
        gateway: Arc<Gateway>,
        entry: Arc<UpstreamEntry>,
        target_pause: Duration,
    ) -> Self {
        let watch = PauseWatch::new(gateway.now(), target_pause);
        Self {
            gateway,
            entry,
            watch,
        }
    }

    /// The target pause until a pause exceeds it, `None` afterwards.
    pub fn target_pause(&self) -> Option<Duration> {
        self.watch.target_pause()
    }

    /// Records an event that was waited for from `since` on.
    pub fn record_event(
        &mut self,
        since: Moment,
    ) {
        let now = self.gateway.now();
        let evidence = self.watch.record_event(now, now.saturating_sub(since));
        self.report(evidence);
    }

    /// Records that the current pause exceeds the target.
    pub fn record_overrun(&mut self) {
        let evidence = self.watch.record_overrun(self.gateway.now());
        self.report(Some(evidence));
    }

    fn report(
        &self,
        evidence: Option<PauseEvidence>,
    ) {
        let Some(evidence) = evidence else {
            return;
        };
        // While this router lags, it measures pauses that the replica did not cause.
        if self.gateway.processor.is_lagging() {
            return;
        }
        let entry = &self.entry;
        if evidence.late > 0.0 {
            metrics::counter!(STREAMS_OVER_TARGET_PAUSE, "service" => entry.service.to_string())
                .increment(1);
        }
        let changed_rate =
            self.gateway
                .replica_table()
                .record_pauses(self.gateway.now(), entry, evidence);
        if let Some(rate) = changed_rate {
            log::info!(
                replica = &*entry.id,
                service = &*entry.service,
                broken_per_100_s = (rate * 100.0) as u64;
                "streams pause for too long there more or less often than before"
            );
        }
    }
}
