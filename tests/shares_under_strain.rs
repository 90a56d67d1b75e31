//! Accounts that each request far more than their share, at routers that report to each other what
//! they allocated: in no six seconds does one account get less than half of what another gets.

use {
    archmast::{
        conf::{DirectSettings, IniDocument, SettingsFile},
        policy::{
            Reporter, ReporterScope, name_hash,
            shares::{AccountUsage, ShareStatus, ShareTracker},
        },
    },
    std::{collections::HashMap, ops::Range, time::Duration},
};

const ROUTERS: usize = 30;
const AGE: Duration = Duration::from_secs(2);
const REPORT_MS: usize = 95; // in a zone of 20 routers
const START_MS: usize = 10_000;

/// Tokens per millisecond of all replicas together.
const CAPACITY: f32 = 40.0;

/// Longest queue at which replicas accept another request, as the time that all of them together
/// take for it; twice that for accounts under their share.
const MAX_QUEUE_MS: f32 = 200.0;

/// The window of shares in the shipped settings.
fn shipped_window() -> Duration {
    let parsed = IniDocument::parse("direct.ini", DirectSettings::SHIPPED);
    let file = parsed.and_then(|document| SettingsFile::new(document, DirectSettings::SHIPPED));
    let file = file.expect("valid shipped settings");
    let bounds = Duration::from_millis(100)..=Duration::from_secs(600);
    let shares = file.section("shares").expect("a section on shares");
    shares.duration("window", bounds).expect("a window")
}

/// The requests of one account: at each of some routers, one at each interval, during some time.
struct Demand {
    account: u32,
    routers: Range<usize>,
    interval_ms: usize,
    tokens: f32,
    active_ms: Range<usize>, // since the start of the run
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
    trackers: Vec<ShareTracker>,
    queued_tokens: f32,
}

impl Fleet {
    fn new() -> Self {
        let window = shipped_window();
        let tracker = || {
            let mut tracker = ShareTracker::new(window, AGE);
            tracker.set_declared_capacity(Some(f64::from(CAPACITY) * 1000.0));
            tracker
        };
        Self {
            trackers: std::iter::repeat_with(tracker).take(ROUTERS).collect(),
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
        for (receiver, tracker) in self.trackers.iter_mut().enumerate() {
            if receiver != router {
                tracker.apply_report(now, reporter, &usage);
            }
        }
    }
}

/// Tokens allocated to each account, by second of the run.
fn allocated_by_second(
    demands: &[Demand],
    seconds: usize,
    capacity: impl Fn(usize) -> f32,
) -> HashMap<u32, Vec<f32>> {
    let mut fleet = Fleet::new();
    let mut allocated: HashMap<u32, Vec<f32>> = HashMap::new();
    for ms in 0..seconds * 1000 {
        let now = Duration::from_millis((START_MS + ms) as u64);
        let capacity = capacity(ms);
        fleet.queued_tokens = (fleet.queued_tokens - capacity).max(0.0);
        for offset in 0..ROUTERS {
            let router = (offset + ms) % ROUTERS; // varies which router is first
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
fn worst_ratio(
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

/// An account that starts sending requests gets the share of a whole window besides its rate, while
/// the others may get nothing.
#[test]
fn the_window_of_shares_is_at_most_a_third_of_the_six_seconds_compared() {
    assert!(shipped_window() * 3 <= Duration::from_secs(6));
}

#[test]
fn an_account_known_to_few_routers_gets_half_of_another_or_more() {
    let few = demand("few", 0..2, 250, 9000.0, 0..20_000);
    let many = demand("many", 2..10, 7, 200.0, 0..20_000);
    let allocated = allocated_by_second(&[few, many], 20, |_| CAPACITY);
    let ratio = worst_ratio(&allocated, "few", "many", 14..20);
    assert!(ratio >= 0.5, "{ratio}");
}

#[test]
fn an_account_known_to_many_routers_gets_half_of_another_or_more() {
    let few = demand("few", 0..2, 2, 200.0, 0..20_000);
    let many = demand("many", 2..30, 2500, 9000.0, 0..20_000);
    let allocated = allocated_by_second(&[few, many], 20, |_| CAPACITY);
    let ratio = worst_ratio(&allocated, "many", "few", 14..20);
    assert!(ratio >= 0.5, "{ratio}");
}

/// Three accounts send requests from the start, eight more from 10 s on, when a third of the
/// replicas is lost.
#[test]
fn an_account_that_had_a_larger_share_is_not_refused_for_long_when_shares_shrink() {
    let early = (0..3).map(|n| demand(&format!("early {n}"), 0..10, 20, 200.0, 0..24_000));
    let late = (0..8).map(|n| demand(&format!("late {n}"), 10..30, 20, 200.0, 10_000..24_000));
    let demands: Vec<Demand> = early.chain(late).collect();
    let allocated = allocated_by_second(&demands, 24, |ms| match ms {
        0..10_000 => CAPACITY,
        _ => CAPACITY * 2.0 / 3.0,
    });
    for early in 0..3 {
        for late in 0..8 {
            let (early, late) = (format!("early {early}"), format!("late {late}"));
            let ratio = worst_ratio(&allocated, &early, &late, 10..24);
            assert!(ratio >= 0.5, "{ratio} of what {late} got");
            let ratio = worst_ratio(&allocated, &late, &early, 10..24);
            assert!(ratio >= 0.5, "{late}: {ratio} of what {early} got");
        }
    }
}

/// The replicas process a third of the declared capacity; one account requests 150 times as much as
/// each of four others, which request three times their share.
#[test]
fn an_account_keeps_its_share_beside_a_heavier_one_when_replicas_make_less_than_declared() {
    let hot = demand("hot", 0..30, 5, 200.0, 0..24_000);
    let few = (0..4).map(|n| demand(&format!("few {n}"), 4 * n..4 * n + 4, 100, 200.0, 0..24_000));
    let demands: Vec<Demand> = few.chain([hot]).collect();
    let actual_capacity = CAPACITY / 3.0;
    let allocated = allocated_by_second(&demands, 24, |_| actual_capacity);
    for few in 0..4 {
        let ratio = worst_ratio(&allocated, &format!("few {few}"), "hot", 6..24);
        assert!(ratio >= 0.5, "few {few}: {ratio}");
    }
}

fn demand(
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
