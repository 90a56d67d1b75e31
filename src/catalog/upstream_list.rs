use {
    super::{
        UpstreamEntry, UpstreamOrigin, UpstreamRecord, UpstreamState, UpstreamUpdate, begins_era,
        carried_entries::CarriedEntries,
        counter_of, era_of,
        lapse_grace::{LapseGrace, is_mass_removal},
    },
    crate::codes::{Fault, ResultCode},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
    },
    tokio::time::Instant,
};

/// Parses an upstream's entry from its id and text. Fails with `PlatformReply`.
pub type ParseUpstream = fn(&str, &str) -> Result<UpstreamEntry, Fault>;

/// The upstreams, by the record of highest revision for each.
pub struct UpstreamList {
    pub(super) parse: ParseUpstream,
    pub(super) records: BTreeMap<String, SourcedRecord>, // by id, with those of removed upstreams
    pub(super) entries: BTreeMap<String, Arc<UpstreamEntry>>, // by id, those in use
    pub(super) revision: u64,                            // store revision reflected; 0 if none
    snapshot_revision: u64, // of the last snapshot; the records have all removals after it
    pub(super) lapses: LapseGrace,
    pub(super) carried: CarriedEntries,
    excluded: Vec<SocketAddr>, // listening addresses of this process
}

/// A record with its source.
pub(super) struct SourcedRecord {
    pub(super) record: UpstreamRecord,
    pub(super) from: Arc<str>, // "store", or a router's address
}

impl UpstreamList {
    pub fn new(parse: ParseUpstream) -> Self {
        Self {
            parse,
            records: BTreeMap::new(),
            entries: BTreeMap::new(),
            revision: 0,
            snapshot_revision: 0,
            lapses: LapseGrace::default(),
            carried: CarriedEntries::default(),
            excluded: Vec::new(),
        }
    }

    /// Sets the listening addresses of this process. Entries with one of them are rejected: a
    /// request sent there would come back to this process in a loop.
    pub fn exclude_addresses(
        &mut self,
        excluded: Vec<SocketAddr>,
    ) {
        self.excluded = excluded;
    }

    /// The upstreams in use, including lapsed ones in their grace period.
    pub fn entries(&self) -> Vec<Arc<UpstreamEntry>> {
        self.entries.values().cloned().collect()
    }

    /// The store revision that the list reflects; 0 if none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of entries in the store that do not describe a usable upstream.
    pub fn unusable(&self) -> usize {
        let records = self.records.iter();
        let unusable = records.filter(|(id, sourced)| {
            sourced.record.text.is_some() && !self.entries.contains_key(*id)
        });
        unusable.count()
    }

    /// Source and revision of an upstream's last record; none for unknown upstreams.
    pub fn origin(
        &self,
        id: &str,
    ) -> Option<UpstreamOrigin> {
        let sourced = self.records.get(id)?;
        Some(UpstreamOrigin {
            revision: sourced.record.revision,
            from: sourced.from.clone(),
            is_lapsed: sourced.record.text.is_none() && self.entries.contains_key(id),
        })
    }

    /// The changes after a store revision, or a snapshot if removals after it may be missing
    /// from the records. A peer that got only changes then would adopt the revision and go on
    /// using removed upstreams.
    pub fn upstream_update_after(
        &self,
        revision: u64,
    ) -> UpstreamUpdate {
        let is_snapshot = revision < self.snapshot_revision;
        let records = self.records.values().map(|sourced| &sourced.record);
        // A withdrawn upstream is sent as the store lists it: a peer that did not know that it
        // was withdrawn could not use it later, since its entry may never change again.
        let listed = records.map(|record| self.carried.listed(&record.id).unwrap_or(record));
        let sent = listed.filter(|record| match is_snapshot {
            true => record.text.is_some(),
            false => record.revision > revision,
        });
        UpstreamUpdate {
            records: sent.cloned().collect(),
            revision: self.revision,
            is_snapshot,
        }
    }

    /// Applies changes or a snapshot. Returns whether the upstreams in use or the revision
    /// changed.
    pub fn apply(
        &mut self,
        update: UpstreamUpdate,
        from: &str,
    ) -> bool {
        let UpstreamUpdate {
            mut records,
            revision,
            is_snapshot,
        } = update;
        let begins_era = begins_era(self.revision, revision);
        if begins_era {
            if !is_snapshot {
                log::error!(
                    era = era_of(revision), from = from;
                    "changes of another era ignored: the list that they change is unknown"
                );
                return false;
            }
            self.begin_era(&mut records, revision, from);
        }
        if is_snapshot {
            let listed: BTreeSet<&str> = records.iter().map(|record| &*record.id).collect();
            self.carried.retain_listed(&listed, revision);
            let removals = self.removals_by(&listed, revision);
            records.extend(removals);
        }
        if is_mass_removal(&self.entries, self.removed_by(&records)) {
            log::warn!(
                from = from;
                "most upstream entries vanished at once: their leases expired"
            );
            self.lapses.begin(Instant::now());
        }
        let from: Arc<str> = from.into();
        let changed = records
            .into_iter()
            .filter(|record| self.apply_record(record, &from))
            .count();
        if begins_era {
            self.lapses.end();
        }
        let has_advanced = revision > self.revision;
        self.revision = self.revision.max(revision);
        if is_snapshot {
            self.snapshot_revision = self.snapshot_revision.max(revision);
        }
        changed > 0 || has_advanced
    }

    /// The upstreams that these records remove: those whose newest record is a removal that is
    /// news. An answer that was overtaken names removals that have long been applied, also of
    /// upstreams that have come back since.
    fn removed_by<'r>(
        &self,
        records: &'r [UpstreamRecord],
    ) -> impl Iterator<Item = &'r str> + use<'r> {
        let news = records.iter().filter(|record| self.is_news(record));
        let newest: BTreeMap<&str, &UpstreamRecord> =
            news.map(|record| (&*record.id, record)).collect();
        let removals = newest.into_values().filter(|record| record.text.is_none());
        removals.map(|record| &*record.id)
    }

    /// Removal records for the upstreams up to `revision` that a snapshot of that
    /// revision does not list.
    fn removals_by(
        &self,
        listed: &BTreeSet<&str>,
        revision: u64,
    ) -> Vec<UpstreamRecord> {
        let known = self.records.values().map(|sourced| &sourced.record);
        known
            .filter(|known| {
                known.text.is_some() && known.revision <= revision && !listed.contains(&*known.id)
            })
            .map(|known| UpstreamRecord {
                id: known.id.clone(),
                revision,
                text: None,
            })
            .collect()
    }

    /// Removes the lapsed upstreams whose entries did not reappear within the grace period.
    /// Returns whether there were any.
    pub fn remove_expired_lapsed(&mut self) -> bool {
        let expired = self.lapses.take_expired(Instant::now());
        self.remove_entries(&expired)
    }

    /// Removes all lapsed upstreams. Returns whether there were any.
    pub fn remove_all_lapsed(&mut self) -> bool {
        let lapsed = self.lapses.take_all();
        self.remove_entries(&lapsed)
    }

    fn remove_entries(
        &mut self,
        ids: &[String],
    ) -> bool {
        for id in ids {
            self.entries.remove(id);
            log::info!(upstream = id.as_str(); "upstream gone: its entry did not come back");
        }
        !ids.is_empty()
    }

    /// Applies one record. Returns whether the upstreams in use changed.
    fn apply_record(
        &mut self,
        record: &UpstreamRecord,
        from: &Arc<str>,
    ) -> bool {
        if !self.is_news(record) {
            return false;
        }
        self.carried.remove_older(record);
        self.store_record(record, from)
    }

    /// Whether a record is newer than what is known. Records up to the last snapshot are not, even
    /// of unknown upstreams: the snapshot contains everything written before it. An answer of the
    /// store that is overtaken by the snapshot would otherwise restore a removed upstream for good.
    fn is_news(
        &self,
        record: &UpstreamRecord,
    ) -> bool {
        let known = self.records.get(&record.id);
        let known_revision = known.map_or(0, |known| known.record.revision);
        record.revision > known_revision.max(self.snapshot_revision)
    }

    /// Stores one record, whatever is known. An unusable entry is recorded with an empty text, so
    /// that its revision and its removal are passed on to peers all the same. Returns whether the
    /// upstreams in use changed.
    pub(super) fn store_record(
        &mut self,
        record: &UpstreamRecord,
        from: &Arc<str>,
    ) -> bool {
        let entry = self.parse(record, from);
        // The store's copy lists entries again that were not written again.
        let known = self.records.get(&record.id).map(|known| &known.record);
        let is_repeated = known.is_some_and(|known| {
            known.text == record.text && era_of(known.revision) != era_of(record.revision)
        });
        let text = match entry {
            Some(_) => record.text.clone(),
            None => record.text.as_ref().map(|_| String::new()),
        };
        let stored = UpstreamRecord {
            text,
            ..record.clone()
        };
        self.insert_record(stored, from);
        let before = self.entries.get(&record.id);
        // The remaining slow start counts from the time of receipt, so an equal entry extends
        // it and is a change.
        let is_slow = !is_repeated
            && entry
                .as_ref()
                .is_some_and(|entry| !entry.slow_start_remaining.is_zero());
        let is_same = before.map(|entry| &**entry) == entry.as_deref() && !is_slow;
        let was_ready = before.is_some_and(|entry| entry.state == UpstreamState::Ready);
        let is_removed = record.text.is_none();
        if is_removed && was_ready && self.lapses.defer_removal(&record.id, Instant::now()) {
            log::info!(
                upstream = record.id.as_str(), era = era_of(record.revision),
                revision = counter_of(record.revision), from = &**from;
                "upstream entry lapsed: the upstream stays in use for a grace period"
            );
            return false;
        }
        self.lapses.remove(&record.id);
        if !is_same {
            log::info!(
                upstream = record.id.as_str(), era = era_of(record.revision),
                revision = counter_of(record.revision), from = &**from;
                "upstream {}", entry.as_ref().map_or("gone".to_owned(), |e| format!("{:?}", e.state))
            );
        }
        match entry {
            Some(_) if is_same && is_repeated => None,
            Some(entry) => self.entries.insert(record.id.clone(), entry),
            None => self.entries.remove(&record.id),
        };
        !is_same
    }

    pub(super) fn insert_record(
        &mut self,
        record: UpstreamRecord,
        from: &Arc<str>,
    ) {
        let sourced = SourcedRecord {
            record,
            from: from.clone(),
        };
        self.records.insert(sourced.record.id.clone(), sourced);
    }

    /// Parses the entry of a record. Logs entries that cannot be used and returns none for
    /// them, as for removals.
    fn parse(
        &self,
        record: &UpstreamRecord,
        from: &str,
    ) -> Option<Arc<UpstreamEntry>> {
        let text = record.text.as_ref()?;
        let parsed = (self.parse)(&record.id, text);
        let parsed = parsed.and_then(|entry| match self.excluded.contains(&entry.address) {
            true => Err(Fault::new(
                ResultCode::PlatformReply,
                "an address of this process",
            )),
            false => Ok(entry),
        });
        match parsed {
            Ok(entry) => Some(Arc::new(entry)),
            Err(error) => {
                log::error!(
                    code = error.code.number(), upstream = record.id.as_str(),
                    era = era_of(record.revision), revision = counter_of(record.revision),
                    from = from;
                    "upstream entry cannot be used: {error}"
                );
                None
            }
        }
    }
}
