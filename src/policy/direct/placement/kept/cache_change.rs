use super::CacheEventBatch;

/// Effect of a batch of cache events on this router's view of the cache.
#[derive(Debug, PartialEq, Eq)]
pub struct CacheChange {
    pub news: CacheEventBatch,  // the batch, reduced to events that changed the view
    pub heard: usize,    // events that were not known before
    pub taken: usize,    // of these, parts that were not known to be cached
    pub given_up: usize, // of these, evictions of known parts
    pub is_anew: bool,   // the cache was reset: all its earlier content is lost
}
