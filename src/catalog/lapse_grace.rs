use {
    super::{UpstreamEntry, UpstreamRecord},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Upstreams write their entries anew within about two seconds of the store's
/// return; what is still missing then is gone. Shorter than the time in which
/// a leaving upstream must get nothing new (2 s on the shortest sheet).
const GRACE: Duration = Duration::from_millis(1800);

/// Entries that vanished from the store around an outage of it. Their leases ran
/// out unrenewed, which says nothing of the upstreams themselves: they are kept for
/// a short time, in which those that live come back.
#[derive(Debug, Default)]
pub struct LapseGrace {
    until: Option<Instant>, // entries that vanish before are kept until then
    kept: BTreeMap<String, Instant>, // when each is taken as gone, by id
}

impl LapseGrace {
    /// Entries vanish because their leases ran out.
    pub fn begin(
        &mut self,
        now: Instant,
    ) {
        self.until = Some(now + GRACE);
    }

    /// An entry vanished. Whether it is kept for now.
    pub fn keeps(
        &mut self,
        id: &str,
        now: Instant,
    ) -> bool {
        let Some(until) = self.until.filter(|until| now < *until) else {
            return false;
        };
        self.kept.insert(id.to_owned(), until);
        true
    }

    /// An entry is there again, or is gone for another reason.
    pub fn forget(
        &mut self,
        id: &str,
    ) {
        self.kept.remove(id);
    }

    /// All that are kept: their time is over.
    pub fn take_all(&mut self) -> Vec<String> {
        self.until = None;
        std::mem::take(&mut self.kept).into_keys().collect()
    }

    /// The entries that did not come back in time.
    pub fn take_expired(
        &mut self,
        now: Instant,
    ) -> Vec<String> {
        let expired = self.kept.extract_if(.., |_, until| now >= *until);
        expired.map(|(id, _)| id).collect()
    }
}

/// Whether records take away more than half of the entries at once. No planned
/// work does; leases that ran out while the store was away do.
pub fn vanish_together(
    entries: &BTreeMap<String, Arc<UpstreamEntry>>,
    records: &[UpstreamRecord],
) -> bool {
    let vanishing = records.iter().filter(|record| record.text.is_none());
    let known = vanishing.filter(|record| entries.contains_key(&record.id));
    let count = known.count();
    count > 1 && count * 2 > entries.len()
}
