use {
    super::gateway::Gateway,
    crate::{
        catalog::UpstreamEntry,
        ops::BROKEN_PAUSES,
        policy::{
            Moment,
            placement::{PauseEvidence, PauseWatch},
        },
    },
    std::{sync::Arc, time::Duration},
};

/// Watches the pauses of one stream at one replica; what was seen is evidence of how the
/// replica works.
pub struct StreamWatch {
    gateway: Arc<Gateway>,
    entry: Arc<UpstreamEntry>,
    watch: PauseWatch,
}

impl Drop for StreamWatch {
    fn drop(&mut self) {
        let left = self.watch.end(self.gateway.now());
        self.hand_in(left);
    }
}

impl StreamWatch {
    /// A stream whose first event came.
    pub fn new(
        gateway: Arc<Gateway>,
        entry: Arc<UpstreamEntry>,
        pause_aim: Duration,
    ) -> Self {
        let watch = PauseWatch::new(gateway.now(), pause_aim);
        Self {
            gateway,
            entry,
            watch,
        }
    }

    /// The longest pause that is in time, while none came over it.
    pub fn aim(&self) -> Option<Duration> {
        self.watch.target_pause()
    }

    /// An event came that was waited for since then.
    pub fn event(
        &mut self,
        since: Moment,
    ) {
        let now = self.gateway.now();
        let seen = self.watch.record_event(now, now.saturating_sub(since));
        self.hand_in(seen);
    }

    /// The pause that is waited through came over the aim.
    pub fn breaks(&mut self) {
        let seen = self.watch.record_overrun(self.gateway.now());
        self.hand_in(Some(seen));
    }

    fn hand_in(
        &self,
        seen: Option<PauseEvidence>,
    ) {
        let Some(seen) = seen else {
            return;
        };
        // A router that is late itself sees pauses that the replica did not make.
        if self.gateway.processor.is_choked() {
            return;
        }
        let entry = &self.entry;
        if seen.late > 0.0 {
            metrics::counter!(BROKEN_PAUSES, "service" => entry.service.to_string()).increment(1);
        }
        let news = self
            .gateway
            .board()
            .record_pauses(self.gateway.now(), entry, seen);
        if let Some(rate) = news {
            log::info!(
                replica = &*entry.id,
                service = &*entry.service,
                broken_per_100_s = (rate * 100.0) as u64;
                "streams pause for too long there more or less often than before"
            );
        }
    }
}
