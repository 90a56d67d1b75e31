//! Accounts that each ask for far more than their share, at routers that tell each other what
//! they gave: in no six seconds does one get less than half of what another gets.

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

/// Tokens a millisecond that all replicas make.
const CAPACITY: f32 = 40.0;

/// Work in front that replicas still take more to, in milliseconds of all of them; twice that
/// for accounts that are behind.
const MOST_IN_FRONT_MS: f32 = 200.0;

/// The window of shares that ships with the product.
fn shipped_window() -> Duration {
    let parsed = IniDocument::parse("direct.ini", DirectSettings::SHIPPED);
    let file = parsed.and_then(|document| SettingsFile::new(document, DirectSettings::SHIPPED));
    let file = file.expect("the shipped settings are read");
    let bounds = Duration::from_millis(100)..=Duration::from_secs(600);
    let shares = file.section("shares").expect("a section on shares");
    shares.duration("window", bounds).expect("a window")
}

/// How one account asks: each of some routers, one request every so often, in some time.
struct Demand {
    account: u32,
    routers: Range<usize>,
    every_ms: usize,
    tokens: f32,
    asks: Range<usize>, // milliseconds of the run
}

impl Demand {
    /// Whether it asks this router now; not all of its routers at the same moment.
    fn asks(
        &self,
        ms: usize,
        router: usize,
    ) -> bool {
        self.asks.contains(&ms)
            && self.routers.contains(&router)
            && (ms + 37 * router).is_multiple_of(self.every_ms)
    }
}

/// The routers, and replicas that do what they are given in the order in which it comes.
struct Fleet {
    books: Vec<ShareTracker>,
    in_front: f32, // tokens
}

impl Fleet {
    fn new() -> Self {
        let window = shipped_window();
        let book = || {
            let mut book = ShareTracker::new(window, AGE);
            book.set_declared_capacity(Some(f64::from(CAPACITY) * 1000.0));
            book
        };
        Self {
            books: std::iter::repeat_with(book).take(ROUTERS).collect(),
            in_front: 0.0,
        }
    }

    /// Whether a request is sent.
    fn ask(
        &mut self,
        now: Duration,
        router: usize,
        demand: &Demand,
        capacity: f32,
    ) -> bool {
        let book = &mut self.books[router];
        book.record_requested(now, demand.account, demand.tokens);
        let most_ms = match book
            .account_share(now, demand.account, demand.tokens)
            .status
        {
            ShareStatus::Over { .. } => return false,
            ShareStatus::Within => MOST_IN_FRONT_MS,
            ShareStatus::Under => MOST_IN_FRONT_MS * 2.0,
        };
        let is_placed = self.in_front <= capacity * most_ms;
        book.record_placement(now, is_placed);
        if !is_placed {
            return false;
        }
        book.record_allocated(now, demand.account, demand.tokens);
        self.in_front += demand.tokens;
        true
    }

    fn tell(
        &mut self,
        now: Duration,
        router: usize,
    ) {
        let usage: Vec<(u32, AccountUsage)> = self.books[router]
            .own_usage(now)
            .iter()
            .map(|(account, usage)| (*account, *usage))
            .collect();
        let teller = Reporter {
            scope: ReporterScope::Router,
            name: router as u32,
            source_id: 1,
        };
        for (hearer, book) in self.books.iter_mut().enumerate() {
            if hearer != router {
                book.apply_report(now, teller, &usage);
            }
        }
    }
}

/// What each account is given, by second of the run.
fn given(
    demands: &[Demand],
    seconds: usize,
    capacity: impl Fn(usize) -> f32,
) -> HashMap<u32, Vec<f32>> {
    let mut fleet = Fleet::new();
    let mut got: HashMap<u32, Vec<f32>> = HashMap::new();
    for ms in 0..seconds * 1000 {
        let now = Duration::from_millis((START_MS + ms) as u64);
        let capacity = capacity(ms);
        fleet.in_front = (fleet.in_front - capacity).max(0.0);
        for turn in 0..ROUTERS {
            let router = (turn + ms) % ROUTERS; // none always comes first
            for demand in demands.iter().filter(|demand| demand.asks(ms, router)) {
                if fleet.ask(now, router, demand, capacity) {
                    let by_second = got
                        .entry(demand.account)
                        .or_insert_with(|| vec![0.0; seconds]);
                    by_second[ms / 1000] += demand.tokens;
                }
            }
            if (ms + 9 * router).is_multiple_of(REPORT_MS) {
                fleet.tell(now, router);
            }
        }
    }
    got
}

/// What one account gets in the worst six seconds of some, as a part of what another gets.
fn worst_part(
    got: &HashMap<u32, Vec<f32>>,
    account: &str,
    other: &str,
    seconds: Range<usize>,
) -> f32 {
    let sum = |name: &str, from: usize| got[&name_hash(name)][from..from + 6].iter().sum::<f32>();
    let starts = seconds.start..=seconds.end - 6;
    let parts = starts.map(|from| sum(account, from) / sum(other, from));
    parts.fold(f32::MAX, f32::min)
}

/// An account that begins to ask gets a window's share besides its rate, while the others may
/// get nothing.
#[test]
fn a_window_of_shares_is_a_third_of_the_time_over_which_accounts_are_compared() {
    assert!(shipped_window() * 3 <= Duration::from_secs(6));
}

#[test]
fn an_account_known_to_few_routers_gets_half_of_another_or_more() {
    let few = demand("few", 0..2, 250, 9000.0, 0..20_000);
    let many = demand("many", 2..10, 7, 200.0, 0..20_000);
    let got = given(&[few, many], 20, |_| CAPACITY);
    let part = worst_part(&got, "few", "many", 14..20);
    assert!(part >= 0.5, "{part}");
}

#[test]
fn an_account_known_to_many_routers_gets_half_of_another_or_more() {
    let few = demand("few", 0..2, 2, 200.0, 0..20_000);
    let many = demand("many", 2..30, 2500, 9000.0, 0..20_000);
    let got = given(&[few, many], 20, |_| CAPACITY);
    let part = worst_part(&got, "many", "few", 14..20);
    assert!(part >= 0.5, "{part}");
}

/// Three accounts ask from the start, eight more from 10 s on; a third of the replicas is
/// lost then.
#[test]
fn an_account_that_had_a_larger_share_is_not_shut_out_when_shares_become_smaller() {
    let early = (0..3).map(|n| demand(&format!("early {n}"), 0..10, 20, 200.0, 0..24_000));
    let late = (0..8).map(|n| demand(&format!("late {n}"), 10..30, 20, 200.0, 10_000..24_000));
    let demands: Vec<Demand> = early.chain(late).collect();
    let got = given(&demands, 24, |ms| match ms {
        0..10_000 => CAPACITY,
        _ => CAPACITY * 2.0 / 3.0,
    });
    for early in 0..3 {
        for late in 0..8 {
            let (early, late) = (format!("early {early}"), format!("late {late}"));
            let part = worst_part(&got, &early, &late, 10..24);
            assert!(part >= 0.5, "{part} of what {late} got");
            let part = worst_part(&got, &late, &early, 10..24);
            assert!(part >= 0.5, "{late}: {part} of what {early} got");
        }
    }
}

/// A third of what the operator says is made; one account asks for 150 times as much as each of
/// four others, which ask for three times their share.
#[test]
fn an_account_is_not_outrun_by_one_that_asks_more_where_replicas_make_less_than_is_said() {
    let hot = demand("hot", 0..30, 5, 200.0, 0..24_000);
    let few = (0..4).map(|n| demand(&format!("few {n}"), 4 * n..4 * n + 4, 100, 200.0, 0..24_000));
    let demands: Vec<Demand> = few.chain([hot]).collect();
    let made = CAPACITY / 3.0;
    let got = given(&demands, 24, |_| made);
    for few in 0..4 {
        let part = worst_part(&got, &format!("few {few}"), "hot", 6..24);
        assert!(part >= 0.5, "few {few}: {part}");
    }
}

fn demand(
    name: &str,
    routers: Range<usize>,
    every_ms: usize,
    tokens: f32,
    asks: Range<usize>,
) -> Demand {
    Demand {
        account: name_hash(name),
        routers,
        every_ms,
        tokens,
        asks,
    }
}
