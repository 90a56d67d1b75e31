use {
    super::UpstreamEntry,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Grace period for entries that lapsed during an outage of the store. Upstreams write them
/// anew within about 2 s of its return; entries still missing then are removed. It has to be
/// shorter than the time after which an upstream that shuts down must not get any new work,
/// which is 2 s at the shortest.
const GRACE_PERIOD: Duration = Duration::from_millis(1800);

/// Tracks upstream entries that disappeared because of an outage of the store. Their leases
/// expired without being renewed, which says nothing about the upstreams themselves, so they
/// stay in use for a grace period, in which live upstreams write their entries again.
#[derive(Debug, Default)]
pub struct LapseGrace {
    until: Option<Instant>, // end of the grace period; entries that vanish before it stay in use
    lapsed: BTreeMap<String, Instant>, // when each is removed, by id
}

impl LapseGrace {
    /// Starts the grace period.
    pub fn begin(
        &mut self,
        now: Instant,
    ) {
        self.until = Some(now + GRACE_PERIOD);
    }

    /// Ends the grace period for entries that vanish from now on.
    pub fn end(&mut self) {
        self.until = None;
    }

    /// Records that an entry vanished. Returns whether it stays in use for now.
    pub fn defer_removal(
        &mut self,
        id: &str,
        now: Instant,
    ) -> bool {
        let Some(until) = self.until.filter(|until| now < *until) else {
            return false;
        };
        self.lapsed.insert(id.to_owned(), until);
        true
    }

    /// Records that an entry reappeared, or was removed for another reason.
    pub fn remove(
        &mut self,
        id: &str,
    ) {
        self.lapsed.remove(id);
    }

    /// Ends the grace period, and takes out all lapsed entries.
    pub fn take_all(&mut self) -> Vec<String> {
        self.until = None;
        std::mem::take(&mut self.lapsed).into_keys().collect()
    }

    /// Takes out the entries that did not reappear within the grace period.
    pub fn take_expired(
        &mut self,
        now: Instant,
    ) -> Vec<String> {
        let expired = self.lapsed.extract_if(.., |_, until| now >= *until);
        expired.map(|(id, _)| id).collect()
    }
}

/// Whether more than half of the entries, and more than one, vanish at once. No planned work does
/// that; leases that expired during an outage of the store do.
pub fn is_mass_removal<'r>(
    entries: &BTreeMap<String, Arc<UpstreamEntry>>,
    removed: impl Iterator<Item = &'r str>,
) -> bool {
    let count = removed.filter(|id| entries.contains_key(*id)).count();
    count > 1 && count * 2 > entries.len()
}
