//! The order in which a sidecar grants its capacity.

use {
    archmast::{
        codes::ResultCode,
        fleet::AccountId,
        policy::{
            Admission, Arrival, DemandLine, DispatchSettings, Dispatcher, Finished, OrderMode,
            TotalsMode,
        },
    },
    proptest::prelude::*,
    std::{collections::BTreeMap, time::Duration},
};

const ROUTER: u32 = 1;
const SLOTS: u32 = 4;

fn settings() -> DispatchSettings {
    DispatchSettings {
        slots: SLOTS,
        max_ready: 2,
        order: OrderMode::Fair,
        totals: TotalsMode::Local,
        slack: 0.0,
        debt_ceiling: 1e9,
        grant_ttl: Duration::from_millis(400),
        idle_grace: Duration::from_secs(3),
    }
}

fn demand(
    account: u64,
    count: u32,
) -> DemandLine {
    DemandLine {
        account: AccountId(account),
        count,
        patience_ms: 60_000,
        waited_ms: 0,
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Serves accounts with a backlog; `cost` returns the cost of each request. Returns the service
/// that each account got.
fn run_backlog(
    accounts: u64,
    requests: u64,
    mut cost: impl FnMut(u64) -> f64,
) -> BTreeMap<u64, f64> {
    let mut dispatcher = Dispatcher::new(settings());
    let lines: Vec<DemandLine> = (0..accounts).map(|a| demand(a, u32::MAX)).collect();
    dispatcher.update_demand(ROUTER, ms(0), 0, &lines);
    let mut served = BTreeMap::new();
    let mut running = std::collections::VecDeque::new();
    let mut exchange = 0;
    for step in 0..requests {
        let now = ms(step);
        while let Some((router, grant)) = dispatcher.next_grant(now) {
            exchange += 1;
            dispatcher.admit(
                now,
                &Arrival {
                    exchange,
                    router,
                    account: grant.account,
                    grant: Some(grant.number),
                },
            );
            running.push_back((exchange, grant.account.0));
        }
        assert_eq!(dispatcher.running(), SLOTS as usize, "no slot is idle");
        let (done, account) = running.pop_front().expect("something runs");
        let units = cost(account);
        *served.entry(account).or_default() += units;
        dispatcher.finish(done, Finished::Cost(units), now);
        while dispatcher.start_ready(now).is_some() {}
    }
    served
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    #[test]
    fn the_gap_is_bounded_by_a_few_requests_and_does_not_grow(
        accounts in 2u64..8,
        costs in prop::collection::vec(1u32..500, 64),
        expensive in 0u64..8,
    ) {
        let largest = 5.0 * 500.0;
        let gap = |requests: u64| {
            let mut next = 0;
            let served = run_backlog(accounts, requests, |account| {
                next += 1;
                let cost = f64::from(costs[next % costs.len()]);
                if account == expensive { cost * 5.0 } else { cost }
            });
            let most = served.values().copied().fold(0.0, f64::max);
            let least = (0..accounts).map(|a| served.get(&a).copied().unwrap_or(0.0));
            most - least.fold(f64::MAX, f64::min)
        };
        let bound = largest * f64::from(SLOTS + 3);
        prop_assert!(gap(2_000) <= bound);
        prop_assert!(gap(4_000) <= bound);
    }

    #[test]
    fn requests_held_never_exceed_slots_and_ready_limit(
        steps in prop::collection::vec((0u8..6, 0u64..4, 0u64..600), 1..200),
    ) {
        let mut dispatcher = Dispatcher::new(settings());
        let (mut now, mut exchange) = (ms(0), 0);
        let mut granted = Vec::new();
        let mut open = Vec::new();
        for (step, number, passed) in steps {
            now += ms(passed);
            match step {
                0 => dispatcher.update_demand(ROUTER, now, 0, &[demand(number, 10)]),
                1 => granted.extend(dispatcher.next_grant(now)),
                2 => if let Some((router, grant)) = granted.pop() {
                    exchange += 1;
                    let arrival = Arrival {
                        exchange, router, account: grant.account, grant: Some(grant.number),
                    };
                    if !matches!(dispatcher.admit(now, &arrival), Admission::Refused(_)) {
                        open.push(exchange);
                    }
                },
                3 => if let Some(done) = open.pop() {
                    dispatcher.finish(done, Finished::Cost(10.0), now);
                    while dispatcher.start_ready(now).is_some() {}
                },
                4 => { dispatcher.expire(now); },
                _ => if let Some((router, grant)) = granted.pop() {
                    dispatcher.decline(router, grant.number, now);
                },
            }
            prop_assert!(dispatcher.running() <= SLOTS as usize);
            let held = dispatcher.running() + dispatcher.ready() + dispatcher.granted();
            prop_assert!(held <= (SLOTS + 2) as usize);
        }
    }
}

#[test]
fn an_expired_or_used_grant_is_refused_and_its_charge_refunded() {
    let mut dispatcher = Dispatcher::new(settings());
    dispatcher.update_demand(ROUTER, ms(0), 0, &[demand(1, 5)]);
    let (router, grant) = dispatcher.next_grant(ms(0)).expect("capacity and demand");
    let arrival = |exchange| Arrival {
        exchange,
        router,
        account: grant.account,
        grant: Some(grant.number),
    };
    assert_eq!(dispatcher.admit(ms(10), &arrival(1)), Admission::Start);
    assert_eq!(
        dispatcher.admit(ms(11), &arrival(2)),
        Admission::Refused(ResultCode::GrantExpired)
    );
    let (_, late) = dispatcher.next_grant(ms(20)).expect("capacity and demand");
    let arrival = Arrival {
        exchange: 3,
        router,
        account: late.account,
        grant: Some(late.number),
    };
    assert_eq!(
        dispatcher.admit(ms(900), &arrival),
        Admission::Refused(ResultCode::GrantExpired)
    );
    assert_eq!(dispatcher.expire(ms(900)), 1);
    dispatcher.finish(1, Finished::NotRun, ms(900));
    let own: f64 = dispatcher.ledger().accounts().map(|(_, own, ..)| own).sum();
    assert_eq!(own, 0.0);
}

#[test]
fn a_router_that_lost_its_view_is_granted_for_all_that_it_announces() {
    let mut dispatcher = Dispatcher::new(settings());
    dispatcher.update_demand(ROUTER, ms(0), 0, &[demand(1, 2)]);
    let (router, used) = dispatcher.next_grant(ms(0)).expect("capacity and demand");
    let (_, unused) = dispatcher.next_grant(ms(0)).expect("capacity and demand");
    let arrival = Arrival {
        exchange: 1,
        router,
        account: used.account,
        grant: Some(used.number),
    };
    assert_eq!(dispatcher.admit(ms(1), &arrival), Admission::Start);
    dispatcher.finish(1, Finished::Cost(1.0), ms(2));
    assert_eq!(dispatcher.expire(ms(900)), 1, "grant {}", unused.number);
    // The router reconnects and no longer knows that it received any grant.
    dispatcher.update_demand(ROUTER, ms(901), 0, &[demand(1, 2)]);
    assert!(dispatcher.next_grant(ms(901)).is_some());
    assert!(dispatcher.next_grant(ms(901)).is_some());
    assert!(dispatcher.next_grant(ms(901)).is_none());
}

/// A dispatcher with one slot, in which request 0 runs while request 1 waits.
fn with_one_running_and_one_waiting() -> Dispatcher<u32> {
    let mut dispatcher = Dispatcher::new(DispatchSettings {
        slots: 1,
        ..settings()
    });
    dispatcher.update_demand(ROUTER, ms(0), 0, &[demand(1, 5)]);
    let mut admissions = Vec::new();
    let mut grants = Vec::new();
    grants.extend(dispatcher.next_grant(ms(0)));
    grants.extend(dispatcher.next_grant(ms(0)));
    for (exchange, (router, grant)) in grants.iter().enumerate() {
        admissions.push(dispatcher.admit(
            ms(1),
            &Arrival {
                exchange: exchange as u64,
                router: *router,
                account: grant.account,
                grant: Some(grant.number),
            },
        ));
    }
    assert_eq!(admissions, [Admission::Start, Admission::Ready]);
    dispatcher
}

/// A request that arrives without a grant.
fn without_grant(exchange: u64) -> Arrival<u32> {
    Arrival {
        exchange,
        router: ROUTER,
        account: AccountId(1),
        grant: None,
    }
}

#[test]
fn a_leaving_sidecar_grants_nothing_and_hands_back_what_has_not_started() {
    let mut dispatcher = with_one_running_and_one_waiting();
    assert_eq!(dispatcher.leave(ms(2)), [1]);
    dispatcher.update_demand(ROUTER, ms(3), 0, &[demand(1, 5)]);
    assert_eq!(dispatcher.next_grant(ms(3)), None);
    assert_eq!(
        dispatcher.admit(ms(4), &without_grant(9)),
        Admission::Refused(ResultCode::Leaving)
    );
}

/// The half second for which an upstream that refuses connections is suspended must not shorten a
/// longer backoff that the upstream asked for.
#[test]
fn a_rest_lasts_as_long_as_the_longest_that_was_asked_for() {
    let mut dispatcher = with_one_running_and_one_waiting();
    assert_eq!(dispatcher.block_until(ms(2), ms(3_002)), [1]);
    assert!(dispatcher.block_until(ms(10), ms(510)).is_empty());
    dispatcher.update_demand(ROUTER, ms(600), 0, &[demand(1, 5)]);
    dispatcher.finish(0, Finished::Cost(1.0), ms(600));
    assert_eq!(dispatcher.next_grant(ms(3_001)), None);
    assert_eq!(dispatcher.start_ready(ms(3_001)), None);
    assert_eq!(
        dispatcher.admit(ms(3_001), &without_grant(9)),
        Admission::Refused(ResultCode::UpstreamUnreachable)
    );
    assert!(dispatcher.next_grant(ms(3_002)).is_some());
}

#[test]
fn within_the_slack_the_least_patience_goes_first() {
    let mut dispatcher = Dispatcher::new(DispatchSettings {
        slack: 1_000.0,
        ..settings()
    });
    let urgent = DemandLine {
        patience_ms: 50,
        ..demand(2, 1)
    };
    dispatcher.update_demand(ROUTER, ms(0), 0, &[demand(1, 1), urgent, demand(3, 1)]);
    let (_, grant) = dispatcher.next_grant(ms(0)).expect("capacity and demand");
    assert_eq!(grant.account, AccountId(2));
}

#[test]
fn an_account_that_got_much_is_not_starved_beyond_the_ceiling() {
    let mut dispatcher = Dispatcher::new(DispatchSettings {
        slots: 1,
        max_ready: 0,
        debt_ceiling: 1_000.0,
        ..settings()
    });
    let mut exchange = 0;
    let mut serve = |dispatcher: &mut Dispatcher<u32>, now: Duration, cost: f64| {
        let (router, grant) = dispatcher.next_grant(now).expect("capacity and demand");
        exchange += 1;
        dispatcher.admit(
            now,
            &Arrival {
                exchange,
                router,
                account: grant.account,
                grant: Some(grant.number),
            },
        );
        dispatcher.finish(exchange, Finished::Cost(cost), now);
        grant.account
    };
    dispatcher.update_demand(ROUTER, ms(0), 0, &[demand(1, 1)]);
    serve(&mut dispatcher, ms(0), 1e7);
    dispatcher.update_demand(ROUTER, ms(10), 9, &[demand(1, 1_000), demand(2, 1_000)]);
    let served: Vec<AccountId> = (0..40)
        .map(|step| serve(&mut dispatcher, ms(20 + step), 100.0))
        .collect();
    assert!(served.contains(&AccountId(1)), "{served:?}");
}
