use {
    super::CatalogChange,
    crate::codes::Fault,
    std::{future::Future, time::Duration},
};

/// A complete reading of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    pub change: CatalogChange,
    pub complete: bool, // upstreams that it lacks are gone
}

/// The store that the platform keeps, which can only be read.
pub trait CatalogSource: Send + Sync + 'static {
    /// Reads everything: codes 80 to 82.
    fn list(&self) -> impl Future<Output = Result<Listing, Fault>> + Send;

    /// Waits up to `wait` for changes after a revision; none when the history
    /// that far back is gone. Codes 80 to 82.
    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<CatalogChange>, Fault>> + Send;
}
