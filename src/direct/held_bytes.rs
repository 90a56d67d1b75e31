use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Bytes that one holder has, counted in a total of all holders until it is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    own: AtomicU64,
    total: Arc<AtomicU64>,
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.total.fetch_sub(self.own(), Ordering::Relaxed);
    }
}

impl HeldBytes {
    /// Nothing yet.
    pub fn new(total: Arc<AtomicU64>) -> Self {
        Self {
            own: AtomicU64::new(0),
            total,
        }
    }

    /// So many more. Whether there were none before.
    pub fn add(
        &self,
        bytes: u64,
    ) -> bool {
        self.total.fetch_add(bytes, Ordering::Relaxed);
        self.own.fetch_add(bytes, Ordering::Relaxed) == 0
    }

    /// So many less, but for those that were never counted.
    pub fn take(
        &self,
        bytes: u64,
    ) {
        let less = |own: u64| Some(own.saturating_sub(bytes));
        let before = self
            .own
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less)
            .unwrap_or_default();
        self.total.fetch_sub(before.min(bytes), Ordering::Relaxed);
    }

    /// What this holder has.
    pub fn own(&self) -> u64 {
        self.own.load(Ordering::Relaxed)
    }

    /// What all others have.
    pub fn others(&self) -> u64 {
        self.total
            .load(Ordering::Relaxed)
            .saturating_sub(self.own())
    }
}
