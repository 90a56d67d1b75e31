/// What a request that waits for a slot is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    Start,
    HandedBack, // never starts
}
