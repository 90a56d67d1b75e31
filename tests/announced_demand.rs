//! The demand that routers announce to sidecars: no more messages than needed, while the sidecars
//! always know that requests wait.

use {
    archmast::{
        fleet::AccountId,
        policy::{AnnouncedDemand, CurrentDemand, DemandTable},
    },
    proptest::prelude::*,
    std::{collections::BTreeMap, time::Duration},
};

/// Largest count of requests that is announced.
const CAP: u32 = 64;

/// A budget so large that it delays no announcement.
const BYTES_PER_SECOND: f64 = 1e9;
const ACCOUNT: AccountId = AccountId(1);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn current(count: u32) -> BTreeMap<AccountId, CurrentDemand> {
    let demand = CurrentDemand {
        count,
        deadline: ms(60_000),
        oldest: ms(0),
    };
    (count > 0)
        .then_some((ACCOUNT, demand))
        .into_iter()
        .collect()
}

#[test]
fn a_flood_costs_one_message_until_grants_have_used_most_of_it() {
    let mut announced = AnnouncedDemand::default();
    let mut messages = 0;
    for step in 0..10_000 {
        messages += announced
            .take_due_lines(ms(step), CAP, BYTES_PER_SECOND, &current(1 + step as u32))
            .len();
    }
    assert!(messages <= 4, "{messages} messages");
    let mut announced = AnnouncedDemand::default();
    assert_eq!(
        announced
            .take_due_lines(ms(0), CAP, BYTES_PER_SECOND, &current(9_000))
            .len(),
        1
    );
    for grant in 1..=48 {
        let now = ms(1_000 * grant);
        announced.granted(now, ACCOUNT);
        assert!(
            announced
                .take_due_lines(now, CAP, BYTES_PER_SECOND, &current(9_000))
                .is_empty()
        );
    }
    announced.granted(ms(60_000), ACCOUNT);
    assert_eq!(
        announced
            .take_due_lines(ms(60_000), CAP, BYTES_PER_SECOND, &current(9_000))
            .len(),
        1
    );
}

#[test]
fn a_queue_that_is_empty_for_a_moment_is_not_announced() {
    let mut announced = AnnouncedDemand::default();
    assert_eq!(
        announced
            .take_due_lines(ms(0), CAP, BYTES_PER_SECOND, &current(1))
            .len(),
        1
    );
    assert!(
        announced
            .take_due_lines(ms(10), CAP, BYTES_PER_SECOND, &current(0))
            .is_empty()
    );
    assert!(
        announced
            .take_due_lines(ms(50), CAP, BYTES_PER_SECOND, &current(1))
            .is_empty()
    );
    assert!(
        announced
            .take_due_lines(ms(60), CAP, BYTES_PER_SECOND, &current(0))
            .is_empty()
    );
    assert!(
        announced
            .take_due_lines(ms(200), CAP, BYTES_PER_SECOND, &current(0))
            .is_empty()
    );
    let ended = announced.take_due_lines(ms(300), CAP, BYTES_PER_SECOND, &current(0));
    assert_eq!(ended.iter().map(|line| line.count).collect::<Vec<_>>(), [0]);
}

#[test]
fn announcements_to_a_sidecar_that_knows_of_work_stay_within_its_budget() {
    let mut announced = AnnouncedDemand::default();
    let mut lines = 0;
    for step in 0..100_000 {
        // A short queue that alternates between empty and not, beside a long one.
        let mut demand = current(40);
        if step % 2 == 0 {
            demand.insert(AccountId(2), current(1)[&ACCOUNT]);
        }
        lines += announced.take_due_lines(ms(step), CAP, 10.0, &demand).len();
    }
    assert!(
        lines <= 30,
        "{lines} lines of 40 bytes in 100 s at 10 bytes a second"
    );
}

#[test]
fn a_decline_that_arrives_late_leaves_a_newer_announcement_alone() {
    let mut announced = AnnouncedDemand::default();
    let mut table = DemandTable::default();
    let line = announced.take_due_lines(ms(0), CAP, BYTES_PER_SECOND, &current(1))[0];
    table.announce(1u32, ms(0), 0, &line);
    table.granted(ACCOUNT, 1, 7);
    // The router declines grant 7 and announces a new request, which overtakes the decline on
    // another connection.
    table.announce(1u32, ms(1), 7, &line);
    table.declined(ACCOUNT, 1, 7);
    assert!(table.is_waiting(ACCOUNT));
}

#[test]
fn demand_that_gets_no_grant_is_announced_again() {
    let mut announced = AnnouncedDemand::default();
    assert_eq!(
        announced
            .take_due_lines(ms(0), CAP, BYTES_PER_SECOND, &current(3))
            .len(),
        1
    );
    assert!(
        announced
            .take_due_lines(ms(4_000), CAP, BYTES_PER_SECOND, &current(3))
            .is_empty()
    );
    assert_eq!(
        announced
            .take_due_lines(ms(6_000), CAP, BYTES_PER_SECOND, &current(3))
            .len(),
        1
    );
}

#[test]
fn what_waits_after_the_last_grant_is_told_again() {
    let mut announced = AnnouncedDemand::default();
    assert_eq!(
        announced
            .take_due_lines(ms(0), CAP, BYTES_PER_SECOND, &current(3))
            .len(),
        1
    );
    announced.granted(ms(1_000), ACCOUNT);
    assert!(
        announced
            .take_due_lines(ms(5_500), CAP, BYTES_PER_SECOND, &current(2))
            .is_empty()
    );
    assert_eq!(
        announced
            .take_due_lines(ms(6_500), CAP, BYTES_PER_SECOND, &current(2))
            .len(),
        1
    );
}

proptest! {
    #[test]
    fn while_work_waits_the_sidecar_always_knows_of_demand(
        counts in prop::collection::vec((0u32..200, any::<bool>()), 1..100),
    ) {
        let mut announced = AnnouncedDemand::default();
        let mut table = DemandTable::default();
        let (mut number, mut seen) = (0, 0);
        for (step, (count, grants)) in counts.into_iter().enumerate() {
            let now = ms(step as u64 * 7);
            for line in announced.take_due_lines(now, CAP, BYTES_PER_SECOND, &current(count)) {
                table.announce(1u32, now, seen, &line);
            }
            if count > 0 {
                prop_assert!(table.is_waiting(ACCOUNT), "{count} wait unknown");
            }
            if grants && table.is_waiting(ACCOUNT) {
                number += 1;
                table.granted(ACCOUNT, 1, number);
                seen = number;
                announced.granted(now, ACCOUNT);
                if count == 0 {
                    announced.declined(ACCOUNT);
                    table.declined(ACCOUNT, 1, number);
                }
            }
        }
    }
}
