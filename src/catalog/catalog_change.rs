use super::{CordonChange, StoreRevision, UpstreamRecord};

/// One item of the store that concerns the catalog.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CatalogItem {
    Config { text: String },
    Upstream(UpstreamRecord),
    Cordon(CordonChange),
}

/// Result of a listing or a watch of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogChange {
    pub items: Vec<CatalogItem>,
    pub revision: u64,    // store revision from which the next watch continues
    pub era: Option<u64>, // of the revisions, which are not packed yet; none if not reported
}

impl CatalogChange {
    /// Packs the store's own revisions with their era.
    pub fn in_era(
        mut self,
        era: u64,
    ) -> Self {
        let pack = |counter: &mut u64| {
            *counter = StoreRevision {
                era,
                counter: *counter,
            }
            .pack();
        };
        for item in &mut self.items {
            match item {
                CatalogItem::Config { .. } => {}
                CatalogItem::Upstream(record) => pack(&mut record.revision),
                CatalogItem::Cordon(CordonChange::Set(cordon) | CordonChange::Lifted(cordon)) => {
                    pack(&mut cordon.revision)
                }
            }
        }
        pack(&mut self.revision);
        self.era = Some(era);
        self
    }
}
