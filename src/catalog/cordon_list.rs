use {
    super::{Cordon, CordonNews},
    crate::codes::ResultCode,
    std::collections::{BTreeMap, BTreeSet},
};

/// Zones that may be cordoned at once. A fleet has some ten; names beyond are another
/// writer's, and would cost each router their size.
const MOST: usize = 256;

/// The zones that the operator has cordoned, as of a revision of the store. What is told
/// of a later revision replaces it whole, so that nothing needs to be kept of cordons that
/// were lifted.
#[derive(Debug, Default)]
pub struct CordonList {
    zones: BTreeMap<String, u64>, // the revision of each cordon
    at: u64,                      // the store's revision that is reflected, 0 is none
}

impl CordonList {
    /// The store's revision that the list reflects, 0 is none.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// The cordoned zones.
    pub fn zones(&self) -> BTreeSet<String> {
        self.zones.keys().cloned().collect()
    }

    /// All of it, for a router that is behind.
    pub fn news(&self) -> CordonNews {
        let cordons = self.zones.iter().map(|(zone, revision)| Cordon {
            zone: zone.clone(),
            revision: *revision,
        });
        CordonNews {
            cordons: cordons.collect(),
            at: self.at,
        }
    }

    /// Takes in a whole reading, of the store or of what another router knows. Whether
    /// other zones are cordoned than before. A cordon that is younger than the reading
    /// stays: whether it was lifted since is told by what follows on the reading.
    pub fn take_whole(
        &mut self,
        news: CordonNews,
        from: &str,
    ) -> bool {
        if news.at <= self.at {
            return false;
        }
        let before = std::mem::take(&mut self.zones);
        let younger = before
            .iter()
            .filter(|(_, revision)| **revision > news.at)
            .map(|(zone, revision)| (zone.clone(), *revision));
        self.zones.extend(younger);
        for cordon in news.cordons {
            self.set(cordon, from);
        }
        self.at = news.at;
        log_changes(&before, &self.zones, self.at, from);
        before.keys().ne(self.zones.keys())
    }

    /// Takes in what a watch of the store brought, which goes on from no later than what
    /// is reflected here: cordons that were set, and zones that were given back. Whether
    /// other zones are cordoned than before.
    pub fn take_changes(
        &mut self,
        changes: Vec<CordonChange>,
        at: u64,
        from: &str,
    ) -> bool {
        let before = self.zones.clone();
        for change in changes {
            match change {
                CordonChange::Set(cordon) if cordon.revision > self.at => self.set(cordon, from),
                CordonChange::Lifted(cordon) if cordon.revision > self.at => {
                    let lifts = |known: &u64| *known < cordon.revision;
                    if self.zones.get(&cordon.zone).is_some_and(lifts) {
                        self.zones.remove(&cordon.zone);
                    }
                }
                _ => {}
            }
        }
        self.at = self.at.max(at);
        log_changes(&before, &self.zones, self.at, from);
        before.keys().ne(self.zones.keys())
    }

    fn set(
        &mut self,
        cordon: Cordon,
        from: &str,
    ) {
        if self.zones.len() >= MOST && !self.zones.contains_key(&cordon.zone) {
            log::error!(
                code = ResultCode::PlatformReply.number(), zone = cordon.zone.as_str(),
                revision = cordon.revision, from = from;
                "cordon left out: {MOST} zones are cordoned"
            );
            return;
        }
        let known = self.zones.entry(cordon.zone).or_default();
        *known = cordon.revision.max(*known);
    }
}

/// What the store said of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CordonChange {
    Set(Cordon),
    Lifted(Cordon),
}

fn log_changes(
    before: &BTreeMap<String, u64>,
    after: &BTreeMap<String, u64>,
    at: u64,
    from: &str,
) {
    for (zone, revision) in after.iter().filter(|(zone, _)| !before.contains_key(*zone)) {
        log::warn!(
            zone = zone.as_str(), revision = *revision, at = at, from = from;
            "zone cordoned: it gets no new work"
        );
    }
    for zone in before.keys().filter(|zone| !after.contains_key(*zone)) {
        log::warn!(zone = zone.as_str(), at = at, from = from; "zone gets work again");
    }
}
