use {
    super::{CarriedCordon, Cordon, CordonSnapshot, begins_era, counter_of, era_of},
    crate::codes::ResultCode,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// How long a zone stays cordoned whose cordon the store's copy lacks. The operator writes it
/// again after the store's return; one that was lifted meanwhile may leave no trace there.
const CARRIED_CORDON_PERIOD: Duration = Duration::from_secs(30);

/// Limit on the cordoned zones. A fleet has some ten zones; more names come from a faulty
/// writer and would only take memory in each router.
const MAX_ZONES: usize = 256;

/// The zones that the operator has cordoned, as of a store revision. Snapshots replace the
/// whole list, so that lifted cordons need not be remembered.
#[derive(Debug, Default)]
pub struct CordonList {
    zones: BTreeMap<String, u64>,       // revision of the cordon, by zone
    revision: u64,                      // store revision that the list reflects; 0 if none
    carried: BTreeMap<String, Instant>, // zones cordoned in an earlier era, and until when
    lifted: BTreeSet<String>,           // zones uncordoned in this era
}

impl CordonList {
    /// The store revision that the list reflects; 0 if none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn zones(&self) -> BTreeSet<String> {
        self.zones
            .keys()
            .chain(self.carried.keys())
            .cloned()
            .collect()
    }

    /// The cordons carried over from an earlier era, for peers.
    pub fn carried_cordons(&self) -> Vec<CarriedCordon> {
        let now = Instant::now();
        let carried = self.carried.iter().map(|(zone, until)| CarriedCordon {
            zone: zone.clone(),
            remaining_ms: (*until - now).as_millis() as u32,
        });
        carried.collect()
    }

    /// Applies a cordon that a peer carried over from an earlier era. Returns whether the set of
    /// cordoned zones changed.
    pub fn apply_carried_cordon(
        &mut self,
        cordon: CarriedCordon,
        from: &str,
    ) -> bool {
        let zone = cordon.zone;
        let is_known = self.zones.contains_key(&zone) || self.carried.contains_key(&zone);
        if is_known || self.lifted.contains(&zone) || self.carried.len() >= MAX_ZONES {
            return false;
        }
        log::warn!(
            zone = zone.as_str(), from = from;
            "zone cordoned before the store lost changes: it gets no new work"
        );
        let remaining = Duration::from_millis(cordon.remaining_ms.into());
        let until = Instant::now() + remaining.min(CARRIED_CORDON_PERIOD);
        self.carried.insert(zone, until);
        true
    }

    /// Removes the carried cordons that were not written again in time. Returns whether there were
    /// any.
    pub fn remove_expired(&mut self) -> bool {
        let now = Instant::now();
        let expired = self.carried.extract_if(.., |_, until| now >= *until);
        let zones: Vec<String> = expired.map(|(zone, _)| zone).collect();
        for zone in &zones {
            log::warn!(
                zone = zone.as_str();
                "zone uncordoned: its cordon was not written again after the store lost changes"
            );
        }
        !zones.is_empty()
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
        let before = self.zones();
        if begins_era(self.revision, snapshot.revision) {
            self.begin_era();
        }
        self.zones
            .retain(|_, revision| *revision > snapshot.revision);
        for cordon in snapshot.cordons {
            self.set(cordon, from);
        }
        self.revision = snapshot.revision;
        self.log_changes(&before, from);
        before != self.zones()
    }

    /// Carries all cordons over into another era: the store came back from a copy, which may lack
    /// the newest ones. They hold until they are written again or lifted.
    fn begin_era(&mut self) {
        let until = Instant::now() + CARRIED_CORDON_PERIOD;
        let zones = self.zones().into_iter();
        self.carried = zones.map(|zone| (zone, until)).collect();
        self.lifted.clear();
    }

    /// Applies the changes of a watch that started at or before the revision of this list.
    /// Returns whether the set of cordoned zones changed.
    pub fn apply_changes(
        &mut self,
        changes: Vec<CordonChange>,
        revision: u64,
        from: &str,
    ) -> bool {
        if begins_era(self.revision, revision) {
            log::error!(
                era = era_of(revision), from = from;
                "changes of another era ignored: the cordons that they change are unknown"
            );
            return false;
        }
        let before = self.zones();
        for change in changes {
            match change {
                CordonChange::Set(cordon) if cordon.revision > self.revision => {
                    self.set(cordon, from)
                }
                CordonChange::Lifted(cordon) if cordon.revision > self.revision => {
                    self.lift(cordon)
                }
                _ => {}
            }
        }
        self.revision = self.revision.max(revision);
        self.log_changes(&before, from);
        before != self.zones()
    }

    fn lift(
        &mut self,
        cordon: Cordon,
    ) {
        let is_older = |known: &u64| *known < cordon.revision;
        if self.zones.get(&cordon.zone).is_some_and(is_older) {
            self.zones.remove(&cordon.zone);
        }
        self.carried.remove(&cordon.zone);
        if era_of(cordon.revision) > 0 && self.lifted.len() < MAX_ZONES {
            self.lifted.insert(cordon.zone);
        }
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
        self.carried.remove(&cordon.zone);
        let known = self.zones.entry(cordon.zone).or_default();
        *known = cordon.revision.max(*known);
    }

    fn log_changes(
        &self,
        before: &BTreeSet<String>,
        from: &str,
    ) {
        let (era, at) = (era_of(self.revision), counter_of(self.revision));
        let after = self.zones();
        for zone in after.difference(before) {
            let revision = self.zones.get(zone).copied().unwrap_or_default();
            log::warn!(
                zone = zone.as_str(), revision = counter_of(revision), era = era, at = at,
                from = from;
                "zone cordoned: it gets no new work"
            );
        }
        for zone in before.difference(&after) {
            log::warn!(
                zone = zone.as_str(), era = era, at = at, from = from;
                "zone uncordoned: it gets new work"
            );
        }
    }
}

/// A change of one cordon in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CordonChange {
    Set(Cordon),
    Lifted(Cordon), // with the revision at which it was lifted
}
