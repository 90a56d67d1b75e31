use {super::MemoryBudget, std::time::Duration};

/// Callers give a stream up after a gap of two seconds; one that took nothing for as long
/// has no claim to more of the router's memory.
const UNREAD: Duration = Duration::from_secs(2);

/// Whether an answer is given up whose caller took nothing for `untaken`: that alone is no
/// reason while the budget permits what is held for it.
pub fn is_given_up(
    budget: MemoryBudget,
    own: u64,
    others: u64,
    untaken: Duration,
) -> bool {
    untaken >= UNREAD && !budget.permits(own, others)
}
