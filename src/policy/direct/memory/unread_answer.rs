use {super::MemoryBudget, std::time::Duration};

/// How long a caller may read nothing before its answer may be aborted. Callers abandon a
/// stream after a gap of two seconds, so one that reads nothing for as long gets no more memory.
pub const MAX_UNREAD_TIME: Duration = Duration::from_secs(2);

/// Whether to abort an answer of which the caller has read nothing for `unread_for`. It is kept
/// as long as the budget permits the `own` bytes that are held for it.
pub fn must_abort_answer(
    budget: MemoryBudget,
    own: u64,
    others: u64,
    unread_for: Duration,
) -> bool {
    unread_for >= MAX_UNREAD_TIME && !budget.permits(own, others)
}
