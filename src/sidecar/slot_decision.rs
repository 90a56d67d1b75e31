/// What happens to a request that waited for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotDecision {
    Start,
    HandedBack, // it will never start here
}
