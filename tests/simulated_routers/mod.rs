//! Simulated routers that divide what replicas make by the product's own book, in virtual time.

use {
    archmast::{
        conf::{DirectSettings, IniDocument, SettingsFile},
        policy::{
            Reporter, ReporterScope, admits_despite_lag, name_hash,
            shares::{AccountUsage, ShareStatus, ShareTracker},
        },
    },
    std::{collections::HashMap, ops::Range, time::Duration},
};

const AGE: Duration = Duration::from_secs(2);
const REPORT_MS: usize = 95; // in a zone of 20 routers
const START_MS: usize = 10_000;

/// Longest queue at which replicas accept another request, as the time that all of them together
/// take for it; twice that for accounts under their share.
const MAX_QUEUE_MS: f32 = 200.0;

/// The window of shares in the shipped settings.
pub fn shipped_window() -> Duration {
    let parsed = IniDocument::parse("direct.ini", DirectSettings::SHIPPED);
    let file = parsed.and_then(|document| SettingsFile::new(document, DirectSettings::SHIPPED));
    let file = file.expect("valid shipped settings");
    let bounds = Duration::from_millis(100)..=Duration::from_secs(600);
    let shares = file.section("shares").expect("a section on shares");
    shares.duration("window", bounds).expect("a window")
}

/// How often zones tell each other what their accounts use.
const SUMMARY_MS: usize = 500;

/// The period in which a router may use its processor time, and how late the timers of one are that
/// has used it up.
const PROCESSOR_PERIOD_MS: usize = 100;
const THROTTLED_LAG: Duration = Duration::from_millis(91);

/// The size of a fleet.
#[derive(Clone, Copy)]
pub struct FleetSize {
    pub routers: usize,
    pub zones: usize,               // of as many routers each
    pub short_routers: usize,       // the first routers, which have little processor time
    pub requests_per_period: usize, // that a router with little processor time can handle
}

/// The requests of one account: at each of some routers, one at each interval, during some time.
pub struct Demand {
    pub account: u32,
    pub routers: Range<usize>,
    pub interval_ms: usize,
    pub tokens: f32,
    pub active_ms: Range<usize>, // since the start of the run
}

impl Demand {
    /// Whether it sends a request to this router now; its routers get theirs at different moments.
    fn is_active(
        &self,
        ms: usize,
        router: usize,
    ) -> bool {
        self.active_ms.contains(&ms)
            && self.routers.contains(&router)
            && (ms + 37 * router).is_multiple_of(self.interval_ms)
    }
}

/// The routers, and replicas that process requests in order of arrival.
struct Fleet {
    size: FleetSize,
    trackers: Vec<ShareTracker>,
    handled: Vec<usize>, // requests in this period, by router
    lags: Vec<Duration>,
    queued_tokens: f32,
}

impl Fleet {
    fn new(
        size: FleetSize,
        capacity: f32,
    ) -> Self {
        let window = shipped_window();
        let tracker = || {
            let mut tracker = ShareTracker::new(window, AGE);
            tracker.set_declared_capacity(Some(f64::from(capacity) * 1000.0));
            tracker
        };
        Self {
            trackers: std::iter::repeat_with(tracker).take(size.routers).collect(),
            handled: vec![0; size.routers],
            lags: vec![Duration::ZERO; size.routers],
            size,
            queued_tokens: 0.0,
        }
    }

    /// Offers a request to a router. Returns whether it is sent to a replica.
    fn request(
        &mut self,
        now: Duration,
        router: usize,
        demand: &Demand,
        capacity: f32,
    ) -> bool {
        let tracker = &mut self.trackers[router];
        tracker.record_requested(now, demand.account, demand.tokens);
        self.handled[router] += 1;
        let fraction = tracker.served_fraction(now, demand.account);
        if !admits_despite_lag(self.lags[router], fraction) {
            return false;
        }
        let max_queue_ms = match tracker
            .account_share(now, demand.account, demand.tokens)
            .status
        {
            ShareStatus::Over { .. } => return false,
            ShareStatus::Within => MAX_QUEUE_MS,
            ShareStatus::Under => MAX_QUEUE_MS * 2.0,
        };
        let is_placed = self.queued_tokens <= capacity * max_queue_ms;
        tracker.record_placement(now, is_placed);
        if !is_placed {
            return false;
        }
        tracker.record_allocated(now, demand.account, demand.tokens);
        self.queued_tokens += demand.tokens;
        true
    }

    fn send_report(
        &mut self,
        now: Duration,
        router: usize,
    ) {
        let usage: Vec<(u32, AccountUsage)> = self.trackers[router]
            .own_usage(now)
            .iter()
            .map(|(account, usage)| (*account, *usage))
            .collect();
        let reporter = Reporter {
            scope: ReporterScope::Router,
            name: router as u32,
            source_id: 1,
        };
        let zone = self.zone(router);
        for receiver in (0..self.size.routers).filter(|receiver| *receiver != router) {
            if self.zone(receiver) == zone {
                self.trackers[receiver].apply_report(now, reporter, &usage);
            }
        }
    }

    fn zone(
        &self,
        router: usize,
    ) -> usize {
        router * self.size.zones / self.size.routers
    }

    /// Tells all other zones what the accounts use in the zone of this router.
    fn send_summary(
        &mut self,
        now: Duration,
        router: usize,
    ) {
        let usage: Vec<(u32, AccountUsage)> =
            self.trackers[router].zone_usage(now).into_iter().collect();
        let zone = self.zone(router);
        let reporter = Reporter {
            scope: ReporterScope::Zone,
            name: (self.size.routers + zone) as u32,
            source_id: 1,
        };
        for receiver in 0..self.size.routers {
            if self.zone(receiver) != zone {
                self.trackers[receiver].apply_report(now, reporter, &usage);
            }
        }
    }

    /// Ends a period of processor time: routers that used theirs up lag in the next one.
    fn end_period(&mut self) {
        for router in 0..self.size.routers {
            let handled = std::mem::take(&mut self.handled[router]);
            let is_short = router < self.size.short_routers;
            let is_used_up = is_short && handled > self.size.requests_per_period;
            self.lags[router] = if is_used_up {
                THROTTLED_LAG
            } else {
                Duration::ZERO
            };
        }
    }
}

/// Tokens allocated to each account, by second of the run.
pub fn allocated_by_second(
    size: FleetSize,
    declared: f32,
    demands: &[Demand],
    seconds: usize,
    capacity: impl Fn(usize) -> f32,
) -> HashMap<u32, Vec<f32>> {
    let mut fleet = Fleet::new(size, declared);
    let mut allocated: HashMap<u32, Vec<f32>> = HashMap::new();
    for ms in 0..seconds * 1000 {
        let now = Duration::from_millis((START_MS + ms) as u64);
        let capacity = capacity(ms);
        fleet.queued_tokens = (fleet.queued_tokens - capacity).max(0.0);
        if ms.is_multiple_of(PROCESSOR_PERIOD_MS) {
            fleet.end_period();
        }
        if ms.is_multiple_of(SUMMARY_MS) {
            for zone in 0..size.zones {
                fleet.send_summary(now, zone * size.routers / size.zones);
            }
        }
        for offset in 0..size.routers {
            let router = (offset + ms) % size.routers; // varies which router is first
            for demand in demands.iter().filter(|demand| demand.is_active(ms, router)) {
                if fleet.request(now, router, demand, capacity) {
                    let by_second = allocated
                        .entry(demand.account)
                        .or_insert_with(|| vec![0.0; seconds]);
                    by_second[ms / 1000] += demand.tokens;
                }
            }
            if (ms + 9 * router).is_multiple_of(REPORT_MS) {
                fleet.send_report(now, router);
            }
        }
    }
    allocated
}

/// The lowest ratio, over all six-second intervals in `seconds`, of what `account` got to what
/// `other` got.
pub fn worst_ratio(
    allocated: &HashMap<u32, Vec<f32>>,
    account: &str,
    other: &str,
    seconds: Range<usize>,
) -> f32 {
    let sum = |name: &str, from: usize| {
        allocated[&name_hash(name)][from..from + 6]
            .iter()
            .sum::<f32>()
    };
    let starts = seconds.start..=seconds.end - 6;
    let ratios = starts.map(|from| sum(account, from) / sum(other, from));
    ratios.fold(f32::MAX, f32::min)
}

pub fn demand(
    name: &str,
    routers: Range<usize>,
    interval_ms: usize,
    tokens: f32,
    active_ms: Range<usize>,
) -> Demand {
    Demand {
        account: name_hash(name),
        routers,
        interval_ms,
        tokens,
        active_ms,
    }
}
