use {
    super::CatalogChange,
    crate::codes::Fault,
    std::{future::Future, time::Duration},
};

/// The store that the platform keeps, which can only be read.
pub trait CatalogSource: Send + Sync + 'static {
    /// Reads everything: codes 80 to 82. Upstreams that it lacks are gone.
    fn list(&self) -> impl Future<Output = Result<CatalogChange, Fault>> + Send;

    /// Waits up to `wait` for changes after a revision; none when the history
    /// that far back is gone. Codes 80 to 82.
    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<CatalogChange>, Fault>> + Send;
}
