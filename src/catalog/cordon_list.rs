use {
    super::{Cordon, CordonSnapshot},
    crate::codes::ResultCode,
    std::collections::{BTreeMap, BTreeSet},
};

/// Limit on the cordoned zones. A fleet has some ten zones; more names come from a faulty
/// writer and would only take memory in each router.
const MAX_ZONES: usize = 256;

/// The zones that the operator has cordoned, as of a store revision. Snapshots replace the
/// whole list, so that lifted cordons need not be remembered.
#[derive(Debug, Default)]
pub struct CordonList {
    zones: BTreeMap<String, u64>, // revision of the cordon, by zone
    revision: u64,                // store revision that the list reflects; 0 if none
}

impl CordonList {
    /// The store revision that the list reflects; 0 if none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn zones(&self) -> BTreeSet<String> {
        self.zones.keys().cloned().collect()
    }

    /// The whole list, for a peer.
    pub fn snapshot(&self) -> CordonSnapshot {
        let cordons = self.zones.iter().map(|(zone, revision)| Cordon {
            zone: zone.clone(),
            revision: *revision,
        });
        CordonSnapshot {
            cordons: cordons.collect(),
            revision: self.revision,
        }
    }

    /// Applies a snapshot from the store or a peer if it is newer. Cordons written after the
    /// snapshot's revision stay; changes that follow the snapshot say whether they were
    /// lifted since. Returns whether the set of cordoned zones changed.
    pub fn apply_snapshot(
        &mut self,
        snapshot: CordonSnapshot,
        from: &str,
    ) -> bool {
        if snapshot.revision <= self.revision {
            return false;
        }
        let before = std::mem::take(&mut self.zones);
        let younger = before
            .iter()
            .filter(|(_, revision)| **revision > snapshot.revision)
            .map(|(zone, revision)| (zone.clone(), *revision));
        self.zones.extend(younger);
        for cordon in snapshot.cordons {
            self.set(cordon, from);
        }
        self.revision = snapshot.revision;
        log_changes(&before, &self.zones, self.revision, from);
        before.keys().ne(self.zones.keys())
    }

    /// Applies the changes of a watch that started at or before the revision of this list.
    /// Returns whether the set of cordoned zones changed.
    pub fn apply_changes(
        &mut self,
        changes: Vec<CordonChange>,
        revision: u64,
        from: &str,
    ) -> bool {
        let before = self.zones.clone();
        for change in changes {
            match change {
                CordonChange::Set(cordon) if cordon.revision > self.revision => {
                    self.set(cordon, from)
                }
                CordonChange::Lifted(cordon) if cordon.revision > self.revision => {
                    let is_older = |known: &u64| *known < cordon.revision;
                    if self.zones.get(&cordon.zone).is_some_and(is_older) {
                        self.zones.remove(&cordon.zone);
                    }
                }
                _ => {}
            }
        }
        self.revision = self.revision.max(revision);
        log_changes(&before, &self.zones, self.revision, from);
        before.keys().ne(self.zones.keys())
    }

    fn set(
        &mut self,
        cordon: Cordon,
        from: &str,
    ) {
        if self.zones.len() >= MAX_ZONES && !self.zones.contains_key(&cordon.zone) {
            log::error!(
                code = ResultCode::PlatformReply.number(), zone = cordon.zone.as_str(),
                revision = cordon.revision, from = from;
                "cordon ignored: the limit of {MAX_ZONES} cordoned zones is reached"
            );
            return;
        }
        let known = self.zones.entry(cordon.zone).or_default();
        *known = cordon.revision.max(*known);
    }
}

/// A change of one cordon in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CordonChange {
    Set(Cordon),
    Lifted(Cordon), // with the revision at which it was lifted
}

fn log_changes(
    before: &BTreeMap<String, u64>,
    after: &BTreeMap<String, u64>,
    list_revision: u64,
    from: &str,
) {
    for (zone, revision) in after.iter().filter(|(zone, _)| !before.contains_key(*zone)) {
        log::warn!(
            zone = zone.as_str(), revision = *revision, at = list_revision, from = from;
            "zone cordoned: it gets no new work"
        );
    }
    for zone in before.keys().filter(|zone| !after.contains_key(*zone)) {
        log::warn!(zone = zone.as_str(), at = list_revision, from = from; "zone uncordoned: it gets new work");
    }
}
