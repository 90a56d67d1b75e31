use {
    super::CatalogChange,
    crate::codes::Fault,
    std::{future::Future, time::Duration},
};

/// Read access to the platform's store.
pub trait CatalogSource: Send + Sync + 'static {
    /// Reads all items. Fails with codes 80 to 82.
    fn list(&self) -> impl Future<Output = Result<CatalogChange, Fault>> + Send;

    /// Waits up to `wait` for changes after the revision `after`; none if the store has
    /// discarded its history from there on. Fails with codes 80 to 82.
    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<CatalogChange>, Fault>> + Send;
}
