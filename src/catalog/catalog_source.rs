use {
    super::CatalogChange,
    crate::codes::Fault,
    std::{future::Future, time::Duration},
};

/// Read access to the platform's store.
pub trait CatalogSource: Send + Sync + 'static {
    /// Reads all items. Fails with `PlatformDown`, `PlatformBudget` (the store limits the rate of
    /// calls) or `PlatformReply` (an invalid answer).
    fn list(&self) -> impl Future<Output = Result<CatalogChange, Fault>> + Send;

    /// Waits up to `wait` for changes after the revision `after`; none if the store no longer has
    /// all of these changes. Fails as [`CatalogSource::list`] does.
    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<CatalogChange>, Fault>> + Send;
}
