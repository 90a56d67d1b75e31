//! Two accounts that each ask for far more than their share, at routers that tell each other
//! what they gave: neither gets less than half of what the other gets.

use {
    archmast::policy::{
        Teller, TellerScope,
        shares::{AccountUsage, ShareBook, Standing},
        short_name,
    },
    std::time::Duration,
};

const WINDOW: Duration = Duration::from_secs(3);
const AGE: Duration = Duration::from_secs(2);
const REPORT: Duration = Duration::from_millis(95); // in a zone of 20 routers
const TICK: Duration = Duration::from_millis(1);
const START: Duration = Duration::from_secs(10);
const MEASURED_FROM: Duration = Duration::from_secs(24);
const END: Duration = Duration::from_secs(30);

/// Tokens a millisecond that the replicas make.
const CAPACITY: f32 = 40.0;

/// Work in front that replicas still take more to, in tokens.
const MOST_IN_FRONT: f32 = 8000.0;

/// How one account asks: at each of some routers, one request every so often.
struct Demand {
    account: u32,
    routers: std::ops::Range<usize>,
    every: Duration,
    tokens: f32,
    got: f32, // in the time that is measured
}

impl Demand {
    fn new(
        name: &str,
        routers: std::ops::Range<usize>,
        every_ms: u64,
        tokens: f32,
    ) -> Self {
        Self {
            account: short_name(name),
            routers,
            every: Duration::from_millis(every_ms),
            tokens,
            got: 0.0,
        }
    }

    /// The routers that it asks now; not all at the same moment.
    fn asked(
        &self,
        now: Duration,
    ) -> Vec<usize> {
        let due = |router: &usize| {
            let shift = 37 * *router as u128;
            (now.as_millis() + shift).is_multiple_of(self.every.as_millis())
        };
        self.routers.clone().filter(due).collect()
    }
}

fn tell_all(
    books: &mut [ShareBook],
    now: Duration,
    teller: usize,
) {
    let usage: Vec<(u32, AccountUsage)> = books[teller].own(now).clone().into_iter().collect();
    let name = Teller {
        scope: TellerScope::Router,
        name: teller as u32,
        source: 1,
    };
    for (hearer, book) in books.iter_mut().enumerate() {
        if hearer != teller {
            book.hear(now, name, &usage);
        }
    }
}

/// What each of two accounts is given in the last six seconds.
fn given(mut demands: [Demand; 2]) -> [f32; 2] {
    const ROUTERS: usize = 30;
    let mut books: Vec<ShareBook> = (0..ROUTERS).map(|_| ShareBook::new(WINDOW, AGE)).collect();
    let mut in_front = 0.0_f32;
    let mut now = START;
    while now < END {
        in_front = (in_front - CAPACITY).max(0.0);
        for demand in &mut demands {
            for router in demand.asked(now) {
                let book = &mut books[router];
                book.ask(now, demand.account, demand.tokens);
                let share = book.share(now, demand.account, demand.tokens);
                let is_over = matches!(share.standing, Standing::Over { .. });
                if is_over || in_front > MOST_IN_FRONT {
                    continue;
                }
                book.give(now, demand.account, demand.tokens);
                in_front += demand.tokens;
                if now >= MEASURED_FROM {
                    demand.got += demand.tokens;
                }
            }
        }
        for router in 0..ROUTERS {
            if (now + TICK * 9 * router as u32)
                .as_millis()
                .is_multiple_of(REPORT.as_millis())
            {
                tell_all(&mut books, now, router);
            }
        }
        now += TICK;
    }
    demands.map(|demand| demand.got)
}

#[test]
fn an_account_known_to_few_routers_gets_half_of_another_or_more() {
    let few = Demand::new("few", 0..2, 250, 9000.0);
    let many = Demand::new("many", 2..10, 7, 200.0);
    let [few, many] = given([few, many]);
    assert!(few >= many / 2.0, "{few} of {many}");
}

#[test]
fn an_account_known_to_many_routers_gets_half_of_another_or_more() {
    let few = Demand::new("few", 0..2, 2, 200.0);
    let many = Demand::new("many", 2..30, 2500, 9000.0);
    let [few, many] = given([few, many]);
    assert!(many >= few / 2.0, "{many} of {few}");
}
