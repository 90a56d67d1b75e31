use super::MemoryBudget;

/// The largest part of an event that is held until the event is whole. Events carry some tokens;
/// this also leaves room for one that carries a whole answer.
pub const MAX_EVENT_BYTES: u64 = 256 << 10;

/// A part of this size is held whatever others hold, about as much as reading from a connection
/// takes: slow callers must not end the streams of others.
const UNCOUNTED_EVENT_BYTES: u64 = 16 << 10;

/// Whether a stream may hold `own` bytes of an event that is not whole yet, while `others` are
/// held for other answers.
pub fn permits_partial_event(
    budget: MemoryBudget,
    own: u64,
    others: u64,
) -> bool {
    own <= UNCOUNTED_EVENT_BYTES || (own <= MAX_EVENT_BYTES && budget.permits(own, others))
}
