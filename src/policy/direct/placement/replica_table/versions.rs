//! The software versions of replicas.

use {
    super::ReplicaTable,
    crate::{catalog::UpstreamEntry, policy::streams::SoftwareVersion},
    std::{collections::BTreeSet, sync::Arc},
};

impl ReplicaTable {
    /// Whether a replica of the service has this version.
    pub fn serves_version(
        &self,
        service: &str,
        version: SoftwareVersion,
    ) -> bool {
        let mut entries = self.replicas.values().map(|view| &view.entry);
        entries.any(|entry| &*entry.service == service && entry.software_version() == version)
    }

    /// The version of all replicas of these services; `None` if there are several or none.
    pub fn only_version<'s>(
        &self,
        services: impl Iterator<Item = &'s Arc<str>>,
    ) -> Option<SoftwareVersion> {
        let services: BTreeSet<&Arc<str>> = services.collect();
        let entries = self.replicas.values().map(|view| &view.entry);
        let mut versions = entries
            .filter(|entry| services.contains(&entry.service))
            .map(|entry| entry.software_version());
        let first = versions.next()?;
        versions.all(|version| version == first).then_some(first)
    }
}

/// Whether a replica has the software version at which a request must go on, if any.
pub(super) fn has_version(
    version: Option<SoftwareVersion>,
    entry: &UpstreamEntry,
) -> bool {
    version.is_none_or(|version| entry.software_version() == version)
}
