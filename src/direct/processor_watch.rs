use {
    super::gateway::Gateway,
    crate::policy::{BusyGauge, LagGauge, Moment, OverloadPause},
    std::{sync::Arc, time::Duration},
    tokio::runtime::{Handle, RuntimeMetrics},
};

/// How often lag and busy time are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Averaging time of the busy share that decides whether callers are sent elsewhere.
const BUSY_WINDOW: Duration = Duration::from_millis(500);

/// Averaging time of the busy share that decides whether connections are forwarded to
/// neighbours.
const FORWARDING_WINDOW: Duration = Duration::from_millis(100);

/// Connections are forwarded to neighbours that are this many times less busy: between equally
/// busy routers, relaying only adds work.
const MIN_BUSY_RATIO: f64 = 2.0;

/// Neighbours that are busy for less than this share of their time are eligible in any case.
const IDLE_BUSY_SHARE: f64 = 0.25;

/// Minimum time for which connections are forwarded, as a caller that sends much usually
/// continues to.
const MIN_FORWARDING_TIME: Duration = Duration::from_millis(300);

/// Callers are sent elsewhere by a router that is this many times as busy as the others on
/// average.
const PAUSE_BUSY_RATIO: f64 = 1.5;

/// Samples whether this process gets enough processor time, and decides whether requests are
/// refused, callers are sent elsewhere, and connections are forwarded to neighbours.
pub struct ProcessorWatch {
    gateway: Arc<Gateway>,
    runtime: RuntimeMetrics,
    lag: LagGauge,
    busy: BusyGauge,            // over `BUSY_WINDOW`
    short_term_busy: BusyGauge, // over `FORWARDING_WINDOW`
    pause: OverloadPause,
    forwarding_until: Moment,
}

impl ProcessorWatch {
    /// Watches the current Tokio runtime. Panics outside of one.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self {
            gateway,
            runtime: Handle::current().metrics(),
            lag: LagGauge::default(),
            busy: BusyGauge::new(BUSY_WINDOW),
            short_term_busy: BusyGauge::new(FORWARDING_WINDOW),
            pause: OverloadPause::default(),
            forwarding_until: Moment::ZERO,
        }
    }

    /// Samples until the task is dropped.
    pub async fn run(mut self) {
        loop {
            let before = self.gateway.now();
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            let now = self.gateway.now();
            self.gateway.is_unconfirmed();
            self.sample(now, now.saturating_sub(before));
        }
    }

    /// Takes one sample, `step` after the one before, and updates the processor's state.
    fn sample(
        &mut self,
        now: Moment,
        step: Duration,
    ) {
        self.lag.sample(step.saturating_sub(SAMPLE_INTERVAL));
        let busy_time = self.mean_busy_time();
        self.busy.sample(step, busy_time);
        self.short_term_busy.sample(step, busy_time);
        self.update_forwarding(now);
        self.gateway.processor.set_busy(self.busy.share());
        let lag_ms = self.lag.lag().as_millis() as u64;
        let busy = format!("{:.2}", self.busy.share());
        if let Some(is_lagging) = self.gateway.processor.set_lag(self.lag.lag()) {
            log::warn!(
                lag_ms = lag_ms, busy = busy.as_str(), choked = is_lagging;
                "processor time is short, or no longer"
            );
        }
        let is_short = self.gateway.processor.is_lagging() || self.is_busier_than_others(now);
        let paused = self.pause.observe(now, step, is_short);
        if self.gateway.processor.set_paused(paused) {
            log::warn!(
                lag_ms = lag_ms, busy = busy.as_str(), paused = paused;
                "callers are sent elsewhere, or here again"
            );
        }
    }

    /// Starts or stops forwarding connections to neighbours.
    fn update_forwarding(
        &mut self,
        now: Moment,
    ) {
        let settings = self.gateway.settings();
        let own_busy = self.short_term_busy.share();
        let is_short =
            self.gateway.processor.is_lagging() || own_busy >= settings.forward_busy_share;
        if settings.forward_busy_share < 1.0 && is_short {
            self.forwarding_until = now + MIN_FORWARDING_TIME;
        }
        let is_over = now < self.forwarding_until;
        self.gateway.processor.set_over_forwarding_share(is_over);
        let neighbours = if is_over {
            let max_busy = (own_busy / MIN_BUSY_RATIO).max(IDLE_BUSY_SHARE);
            self.gateway
                .peers
                .neighbours(now, settings.peer_age, max_busy)
        } else {
            Vec::new()
        };
        let count = neighbours.len();
        if self.gateway.processor.set_neighbours(neighbours) {
            log::info!(
                busy = format!("{:.2}", self.short_term_busy.share()).as_str(), neighbours = count;
                "connections are handed on, or not any more"
            );
        }
    }

    /// Whether this router is busy while others are less so: only then are callers served better
    /// elsewhere.
    fn is_busier_than_others(
        &self,
        now: Moment,
    ) -> bool {
        let settings = self.gateway.settings();
        let own_busy = self.busy.share();
        let others = self.gateway.peers.mean_busy(now, settings.peer_age);
        let is_busier = others.is_some_and(|percent| own_busy > percent / 100.0 * PAUSE_BUSY_RATIO);
        own_busy > settings.max_busy_share && is_busier
    }

    /// The time that the runtime's threads have been busy since the start, on average.
    fn mean_busy_time(&self) -> Duration {
        let workers = self.runtime.num_workers();
        let busy = (0..workers).map(|worker| self.runtime.worker_total_busy_duration(worker));
        busy.sum::<Duration>() / workers.max(1) as u32
    }
}
