/// Position in the cache events of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CacheCursor {
    pub epoch: Option<u32>, // none before the first batch
    pub next: u64,          // number of the first unknown event
}
