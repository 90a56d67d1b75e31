//! Entries that a list of upstreams carries over when the store comes back from a copy without its
//! newest changes.

use {
    super::{
        CarriedEntry, UpstreamRecord, counter_of, era_of,
        upstream_list::{SourcedRecord, UpstreamList},
    },
    std::sync::Arc,
    tokio::time::Instant,
};

impl UpstreamList {
    /// Prepares for the first listing of another era. The store came back from a copy, which
    /// lacks its newest changes, so what this list knows may be newer than what is listed:
    /// leaving and removals hold until the entry is written again, and upstreams that are
    /// missing get time to write theirs.
    pub(super) fn begin_era(
        &mut self,
        listed: &mut [UpstreamRecord],
        revision: u64,
        from: &str,
    ) {
        log::warn!(
            era = era_of(revision), before = era_of(self.revision), at = counter_of(revision),
            known = counter_of(self.revision), from = from;
            "the store came back from a copy without its newest changes"
        );
        let now = Instant::now();
        self.lapses.begin(now);
        self.carried.clear();
        for record in listed {
            let Some(known) = self.records.get(&record.id) else {
                continue;
            };
            let is_in_use = self.entries.contains_key(&record.id);
            match &known.record.text {
                None if !is_in_use => {
                    let removal = UpstreamRecord {
                        text: None,
                        ..record.clone()
                    };
                    let listed = std::mem::replace(record, removal);
                    self.carried.withdraw(listed, now);
                }
                Some(text) if self.takes_precedence(record) => {
                    record.text = Some(text.clone());
                    self.carried.keep(record);
                }
                _ => {}
            }
        }
        let is_withdrawn_before = |sourced: &SourcedRecord| sourced.record.text.is_none();
        self.records
            .retain(|id, sourced| !is_withdrawn_before(sourced) || self.entries.contains_key(id));
    }

    /// Whether the entry in use of an upstream takes precedence over one from the store's copy.
    fn takes_precedence(
        &self,
        listed: &UpstreamRecord,
    ) -> bool {
        let known = self.entries.get(&listed.id);
        let text = listed.text.as_ref();
        let listed = text.and_then(|text| (self.parse)(&listed.id, text).ok());
        known
            .zip(listed)
            .is_some_and(|(known, listed)| known.limits_more_than(&listed))
    }

    /// The entries carried over from an earlier era, for peers.
    pub fn carried_entries(&self) -> Vec<CarriedEntry> {
        let records = |id: &str| self.records.get(id).map(|sourced| &sourced.record);
        self.carried.for_peers(records, Instant::now())
    }

    /// Applies an entry that a peer carried over from an earlier era. Ignored if this list has
    /// another entry of the upstream than the one that it replaces. Returns whether the upstreams
    /// in use changed.
    pub fn apply_carried_entry(
        &mut self,
        carried: CarriedEntry,
        from: &str,
    ) -> bool {
        let CarriedEntry {
            record,
            remaining_ms,
        } = carried;
        let Some(known) = self.records.get(&record.id) else {
            return false;
        };
        if known.record.revision != record.revision || known.record.text.is_none() {
            return false;
        }
        match (&record.text, remaining_ms) {
            (None, Some(remaining_ms)) => {
                let listed = known.record.clone();
                self.carried
                    .withdraw_for(listed, remaining_ms, Instant::now());
                self.lapses.remove(&record.id);
                self.entries.remove(&record.id);
                self.insert_record(record, &from.into());
                true
            }
            (Some(text), _) => {
                let Ok(entry) = (self.parse)(&record.id, text) else {
                    return false;
                };
                let in_use = self.entries.get(&record.id);
                if !in_use.is_some_and(|in_use| entry.limits_more_than(in_use)) {
                    return false;
                }
                self.carried.keep(&record);
                self.store_record(&record, &from.into())
            }
            (None, None) => false,
        }
    }

    /// Uses the withdrawn upstreams again whose entries the store still lists after the time in
    /// which those of ended upstreams go. Returns whether there were any.
    pub fn restore_confirmed(&mut self) -> bool {
        let confirmed = self.carried.take_confirmed(Instant::now());
        let from: Arc<str> = "store".into();
        let restored = confirmed
            .iter()
            .filter(|listed| self.store_record(listed, &from))
            .count();
        restored > 0
    }
}
