use super::CacheEvent;

/// The part of a batch of cache events that was not known before.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct UnseenEvents {
    pub was_reset: bool, // the cache was reset: all its earlier content is lost
    pub has_gap: bool,   // earlier or intermediate events are missing
    pub events: Vec<CacheEvent>,
}
