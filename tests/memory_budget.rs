//! How much memory a router may hold for slow callers, and which answers it aborts.

use {
    archmast::policy::memory::{
        MAX_EVENT_BYTES, MemoryBudget, choose_refused_upload, must_abort_answer,
        permits_partial_event,
    },
    std::time::Duration,
};

const KB: u64 = 1_000;

/// A host with 120 MB: 15 MB for answers, of which one may hold 960 KB.
const BUDGET: MemoryBudget = MemoryBudget {
    per_connection: 960 * KB,
    total: 15_000 * KB,
};

/// Bytes that each of `count` callers holds that read nothing and are served in turn.
fn held_by_each(count: usize) -> Vec<u64> {
    const CHUNK: u64 = 10 * KB;
    let mut held = vec![0; count];
    for _ in 0..100 {
        for index in 0..count {
            let others = held.iter().sum::<u64>() - held[index];
            if BUDGET.permits(held[index] + CHUNK, others) {
                held[index] += CHUNK;
            }
        }
    }
    held
}

/// With 1 to 1,000 callers that read nothing, each stream is read ahead as far as permitted, all of
/// them stay within the budget, and a later one still gets memory.
#[test]
fn callers_that_read_nothing_share_the_budget_and_leave_capacity() {
    for (count, min_kb) in [(1, 960), (10, 900), (100, 140), (1_000, 10)] {
        let held = held_by_each(count);
        let total_held: u64 = held.iter().sum();
        assert!(
            total_held < BUDGET.total,
            "{count} callers hold {total_held}"
        );
        let min_held = held.iter().min().copied().unwrap_or_default();
        assert!(min_held >= min_kb * KB, "{count}: {min_held}");
        assert!(BUDGET.permits(KB, total_held), "{count}");
    }
}

/// A caller that stops reading a short stream costs others nothing while memory is free; only an
/// answer beyond its own or the total budget is aborted.
#[test]
fn only_an_answer_over_budget_whose_caller_reads_nothing_is_aborted() {
    let (short, long) = (100 * KB, 961 * KB);
    let second = Duration::from_secs(1);
    assert!(!must_abort_answer(BUDGET, short, 0, 600 * second));
    assert!(!must_abort_answer(BUDGET, long, 0, second));
    assert!(must_abort_answer(BUDGET, long, 0, 2 * second));
    assert!(must_abort_answer(BUDGET, short, BUDGET.total, 2 * second));
    assert!(!must_abort_answer(BUDGET, 0, BUDGET.total, 2 * second));
}

/// With uploads of 4 MB on a host that holds 30 MB of them: a single body may be as long as the
/// configured limit, while several slow ones leave memory for others.
#[test]
fn long_uploads_leave_capacity_for_short_ones() {
    let budget = MemoryBudget {
        per_connection: 30_000 * KB,
        total: 30_000 * KB,
    };
    assert!(budget.permits(30_000 * KB, 0));
    assert!(budget.permits(4_000 * KB, 22_000 * KB));
    assert!(!budget.permits(4_000 * KB, 23_000 * KB));
    assert!(budget.permits(300 * KB, 29_000 * KB));
}

#[test]
fn a_part_of_an_event_is_held_up_to_its_bound() {
    assert!(permits_partial_event(BUDGET, MAX_EVENT_BYTES, 0));
    assert!(!permits_partial_event(BUDGET, MAX_EVENT_BYTES + 1, 0));
}

#[test]
fn parts_of_events_of_many_streams_stay_within_the_budget() {
    const STREAMS: u64 = 1_000;
    let mut total = 0;
    for _ in 0..STREAMS {
        let own = (1..=MAX_EVENT_BYTES / KB).map(|part| part * KB);
        let held = own
            .take_while(|own| permits_partial_event(BUDGET, *own, total))
            .last();
        total += held.unwrap_or(0);
    }
    let uncounted = STREAMS * (16 << 10);
    assert!(total <= BUDGET.total + uncounted, "{total}");
}

#[test]
fn slow_callers_end_no_stream_whose_events_arrive_in_parts() {
    assert!(permits_partial_event(BUDGET, 4 * KB, BUDGET.total));
}

/// Of uploads that are about as far, those that began first are read to their ends; a short one
/// makes no room for a longer one.
#[test]
fn the_last_upload_of_about_the_same_size_makes_room() {
    let bodies = [
        (3, 40 * KB),
        (5, 30 * KB),
        (8, 39 * KB),
        (9, 20 * KB),
        (11, 2 * KB),
    ];
    assert_eq!(choose_refused_upload(3, 40 * KB, bodies), 9);
    assert_eq!(choose_refused_upload(8, 41 * KB, bodies), 8);
    assert_eq!(choose_refused_upload(5, 70 * KB, bodies), 8);
    assert_eq!(choose_refused_upload(5, 200 * KB, bodies), 5);
    assert_eq!(choose_refused_upload(11, 2 * KB, bodies), 11);
    assert_eq!(choose_refused_upload(1, KB, []), 1);
}
