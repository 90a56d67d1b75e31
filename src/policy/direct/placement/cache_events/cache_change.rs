use super::CacheEventBatch;

/// Effect of a batch of cache events on this router's view of the cache.
#[derive(Debug, PartialEq, Eq)]
pub struct CacheChange {
    pub batch: CacheEventBatch, // the batch, reduced to events that changed the view
    pub unseen: usize,          // events that were not known before
    pub added: usize,           // of these, parts that were not known to be cached
    pub evicted: usize,         // of these, evictions of known parts
    pub was_reset: bool,        // the cache was reset: all its earlier content is lost
}
