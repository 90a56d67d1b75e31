//! What a router may hold for callers that are slow, and whom it gives up.

use {
    archmast::policy::memory::{MemoryBudget, must_abort_answer},
    std::time::Duration,
};

const KB: u64 = 1_000;

/// A host of 120 MB: 15 MB for answers, of which one may have 960 KB.
const BUDGET: MemoryBudget = MemoryBudget {
    per_connection: 960 * KB,
    total: 15_000 * KB,
};

/// What each of so many callers comes to hold that read nothing, taking turns.
fn held_by_each(count: usize) -> Vec<u64> {
    const PIECE: u64 = 10 * KB;
    let mut held = vec![0; count];
    for _ in 0..100 {
        for index in 0..count {
            let others = held.iter().sum::<u64>() - held[index];
            if BUDGET.permits(held[index] + PIECE, others) {
                held[index] += PIECE;
            }
        }
    }
    held
}

/// Load: 1, 10, 100 and 1,000 callers that read nothing. Reason: each stream is read on as
/// far as it may be, all of them stay inside the budget, and one that comes later still
/// finds room.
#[test]
fn callers_that_read_nothing_share_the_budget_and_leave_room() {
    for (count, least) in [(1, 960), (10, 900), (100, 140), (1_000, 10)] {
        let held = held_by_each(count);
        let sum: u64 = held.iter().sum();
        assert!(sum < BUDGET.total, "{count} hold {sum}");
        let fewest = held.iter().min().copied().unwrap_or_default();
        assert!(fewest >= least * KB, "{count}: {fewest}");
        assert!(BUDGET.permits(KB, sum), "{count}");
    }
}

/// Load: a caller that pauses under a short stream, and one under a long one. Reason: a
/// slow reader costs nobody anything while there is room, and only it is given up.
#[test]
fn only_a_caller_that_takes_nothing_beyond_its_budget_is_given_up() {
    let (short, long) = (100 * KB, 961 * KB);
    let second = Duration::from_secs(1);
    assert!(!must_abort_answer(BUDGET, short, 0, 600 * second));
    assert!(!must_abort_answer(BUDGET, long, 0, second));
    assert!(must_abort_answer(BUDGET, long, 0, 2 * second));
    assert!(must_abort_answer(BUDGET, short, BUDGET.total, 2 * second));
    assert!(!must_abort_answer(BUDGET, 0, BUDGET.total, 2 * second));
}

/// Load: uploads of 4 MB on a host that takes 30 MB of them. Reason: a body as long as the
/// operator's limit is read whatever the budget, while it is alone; slow ones leave room.
#[test]
fn long_uploads_leave_room_for_short_ones() {
    let budget = MemoryBudget {
        per_connection: 30_000 * KB,
        total: 30_000 * KB,
    };
    assert!(budget.permits(30_000 * KB, 0));
    assert!(budget.permits(4_000 * KB, 22_000 * KB));
    assert!(!budget.permits(4_000 * KB, 23_000 * KB));
    assert!(budget.permits(300 * KB, 29_000 * KB));
}
