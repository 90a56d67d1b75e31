use {
    super::gateway::Gateway,
    crate::policy::{BusyGauge, LagGauge, Moment, OverloadPause},
    std::{sync::Arc, time::Duration},
    tokio::runtime::{Handle, RuntimeMetrics},
};

/// How often the processor is looked at.
const TICK: Duration = Duration::from_millis(20);

/// Over what time it is judged how busy the router is: whether callers should go
/// elsewhere, and whether their connections are handed on meanwhile.
const BUSY_WINDOW: Duration = Duration::from_millis(500);
const QUICK_WINDOW: Duration = Duration::from_millis(100);

/// Connections are handed on to neighbours that are this many times less busy: where
/// all are alike, passing bytes on helps nobody.
const LESS_BUSY: f64 = 2.0;

/// Neighbours with work for less than this part of their time take callers over in
/// any case.
const IDLE: f64 = 0.25;

/// Once begun, connections are handed on for this long at least: a caller that asks
/// for much goes on to.
const HAND_ON_TIME: Duration = Duration::from_millis(300);

/// A router this many times as busy as the others on average lets callers go.
const BUSIER: f64 = 1.5;

/// Watches whether this process gets enough of its processor: whether requests
/// must be refused, and whether callers should go elsewhere for a while.
pub struct ProcessorWatch {
    gateway: Arc<Gateway>,
    runtime: RuntimeMetrics,
    lag: LagGauge,
    busy: BusyGauge,
    quick: BusyGauge,
    pause: OverloadPause,
    handing_until: Moment, // connections are handed on until then
}

impl ProcessorWatch {
    /// Watches the runtime that it is called in.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self {
            gateway,
            runtime: Handle::current().metrics(),
            lag: LagGauge::default(),
            busy: BusyGauge::new(BUSY_WINDOW),
            quick: BusyGauge::new(QUICK_WINDOW),
            pause: OverloadPause::default(),
            handing_until: Moment::ZERO,
        }
    }

    /// Watches for as long as the process lives.
    pub async fn run(mut self) {
        loop {
            let before = self.gateway.now();
            tokio::time::sleep(TICK).await;
            let now = self.gateway.now();
            self.gateway.is_unconfirmed();
            self.look(now, now.saturating_sub(before));
        }
    }

    fn look(
        &mut self,
        now: Moment,
        step: Duration,
    ) {
        self.lag.sample(step.saturating_sub(TICK));
        let worked = self.worked();
        self.busy.sample(step, worked);
        self.quick.sample(step, worked);
        self.hand_on(now);
        self.gateway.processor.set_busy(self.busy.share());
        let lag_ms = self.lag.lag().as_millis() as u64;
        let busy = format!("{:.2}", self.busy.share());
        if let Some(choked) = self.gateway.processor.set_lag(self.lag.lag()) {
            log::warn!(
                lag_ms = lag_ms, busy = busy.as_str(), choked = choked;
                "processor is short, or not any more"
            );
        }
        let is_short = self.gateway.processor.is_choked() || self.is_busier_than_others(now);
        let paused = self.pause.observe(now, step, is_short);
        if self.gateway.processor.set_paused(paused) {
            log::warn!(
                lag_ms = lag_ms, busy = busy.as_str(), paused = paused;
                "callers are sent elsewhere, or here again"
            );
        }
    }

    /// Hands connections on from now on, or not any more.
    fn hand_on(
        &mut self,
        now: Moment,
    ) {
        let settings = self.gateway.settings();
        let own = self.quick.share();
        if settings.hand_on < 1.0 && own >= settings.hand_on {
            self.handing_until = now + HAND_ON_TIME;
        }
        let neighbours = if now < self.handing_until {
            let most = (own / LESS_BUSY).max(IDLE);
            self.gateway.peers.neighbours(now, settings.peer_age, most)
        } else {
            Vec::new()
        };
        let count = neighbours.len();
        if self.gateway.processor.set_neighbours(neighbours) {
            log::info!(
                busy = format!("{:.2}", self.quick.share()).as_str(), neighbours = count;
                "connections are handed on, or not any more"
            );
        }
    }

    /// Whether this router is busy while others have time to spare: callers that
    /// are sent elsewhere are served better only then.
    fn is_busier_than_others(
        &self,
        now: Moment,
    ) -> bool {
        let settings = self.gateway.settings();
        let own = self.busy.share();
        let others = self.gateway.peers.mean_busy(now, settings.peer_age);
        let spare = others.is_some_and(|percent| own > percent / 100.0 * BUSIER);
        own > settings.most_busy && spare
    }

    /// The time that the runtime's threads have worked, on average.
    fn worked(&self) -> Duration {
        let workers = self.runtime.num_workers();
        let worked = (0..workers).map(|worker| self.runtime.worker_total_busy_duration(worker));
        worked.sum::<Duration>() / workers.max(1) as u32
    }
}
