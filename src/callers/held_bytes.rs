use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// The bytes that one holder buffers, added to a total over all holders until it is dropped.
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
    /// A holder of no bytes.
    pub fn new(total: Arc<AtomicU64>) -> Self {
        Self {
            own: AtomicU64::new(0),
            total,
        }
    }

    /// Adds bytes. Returns whether the holder had none before.
    pub fn add(
        &self,
        bytes: u64,
    ) -> bool {
        self.total.fetch_add(bytes, Ordering::Relaxed);
        self.own.fetch_add(bytes, Ordering::Relaxed) == 0
    }

    /// Subtracts bytes, at most as many as were added.
    pub fn subtract(
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

    /// The bytes of this holder.
    pub fn own(&self) -> u64 {
        self.own.load(Ordering::Relaxed)
    }

    /// The bytes of all other holders.
    pub fn others(&self) -> u64 {
        self.total
            .load(Ordering::Relaxed)
            .saturating_sub(self.own())
    }
}
