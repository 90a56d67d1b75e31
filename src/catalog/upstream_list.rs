use {
    super::{
        UpstreamEntry, UpstreamNews, UpstreamOrigin, UpstreamRecord, UpstreamState,
        lapse_grace::{LapseGrace, vanish_together},
    },
    crate::codes::{Fault, ResultCode},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
    },
    tokio::time::Instant,
};

/// Reads an upstream's entry by its id and text: code 82.
pub type ParseUpstream = fn(&str, &str) -> Result<UpstreamEntry, Fault>;

/// The upstreams, by the newest word on each. Higher revisions win.
pub struct UpstreamList {
    parse: ParseUpstream,
    records: BTreeMap<String, ToldRecord>, // by id, those that are gone too
    entries: BTreeMap<String, Arc<UpstreamEntry>>,
    at: u64,    // the store's revision that the list reflects, 0 is none
    since: u64, // all removals behind this revision are among the records
    lapses: LapseGrace,
    own: Vec<SocketAddr>, // addresses of this process, which are no upstream's
}

/// A record, and who told it.
struct ToldRecord {
    record: UpstreamRecord,
    from: Arc<str>,
}

impl UpstreamList {
    /// A list that knows nothing yet.
    pub fn new(parse: ParseUpstream) -> Self {
        Self {
            parse,
            records: BTreeMap::new(),
            entries: BTreeMap::new(),
            at: 0,
            since: 0,
            lapses: LapseGrace::default(),
            own: Vec::new(),
        }
    }

    /// Addresses of this process, which are no upstream's: a request that is sent there
    /// comes back to be sent again.
    pub fn keep_out(
        &mut self,
        own: Vec<SocketAddr>,
    ) {
        self.own = own;
    }

    /// The upstreams that are there, as far as known.
    pub fn entries(&self) -> Vec<Arc<UpstreamEntry>> {
        self.entries.values().cloned().collect()
    }

    /// The store's revision that the list reflects, 0 is none.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Entries that name no upstream: known, not usable.
    pub fn unusable(&self) -> usize {
        let told = self.records.iter();
        let unusable =
            told.filter(|(id, told)| told.record.text.is_some() && !self.entries.contains_key(*id));
        unusable.count()
    }

    /// Who told what is known of an upstream; none if it was never heard of.
    pub fn origin(
        &self,
        id: &str,
    ) -> Option<UpstreamOrigin> {
        let told = self.records.get(id)?;
        Some(UpstreamOrigin {
            revision: told.record.revision,
            from: told.from.clone(),
            is_lapsed: told.record.text.is_none() && self.entries.contains_key(id),
        })
    }

    /// What changed after a revision; the whole list for one that may know upstreams
    /// whose removals were never heard of here. Without that it would take the revision
    /// for its own, and keep and use them.
    pub fn news_after(
        &self,
        revision: u64,
    ) -> UpstreamNews {
        let is_whole = revision < self.since;
        let told = self.records.values().map(|told| &told.record);
        let lacking = told.filter(|record| match is_whole {
            true => record.text.is_some(),
            false => record.revision > revision,
        });
        UpstreamNews {
            records: lacking.cloned().collect(),
            at: self.at,
            is_whole,
        }
    }

    /// Takes in news. Whether they were any.
    pub fn take(
        &mut self,
        news: UpstreamNews,
        from: &str,
    ) -> bool {
        let UpstreamNews {
            mut records,
            at,
            is_whole,
        } = news;
        if is_whole {
            records.extend(self.missing_from(&records, at));
        }
        if vanish_together(&self.entries, &records) {
            log::warn!(from = from; "most upstreams vanished at once: their leases ran out");
            self.lapses.begin(Instant::now());
        }
        let from: Arc<str> = from.into();
        let changed = records
            .into_iter()
            .filter(|record| self.take_one(record, &from))
            .count();
        let moved = at > self.at;
        self.at = self.at.max(at);
        if is_whole {
            self.since = self.since.max(at);
        }
        changed > 0 || moved
    }

    /// Records that say that what was known by the revision `at`, and is not among
    /// these, is gone.
    fn missing_from(
        &self,
        listed: &[UpstreamRecord],
        at: u64,
    ) -> Vec<UpstreamRecord> {
        let listed: BTreeSet<&str> = listed.iter().map(|record| &*record.id).collect();
        let known = self.records.values().map(|told| &told.record);
        known
            .filter(|known| {
                known.text.is_some() && known.revision <= at && !listed.contains(&*known.id)
            })
            .map(|known| UpstreamRecord {
                id: known.id.clone(),
                revision: at,
                text: None,
            })
            .collect()
    }

    /// Takes the upstreams as gone whose entries did not come back in time. Whether
    /// there were any.
    pub fn drop_lapsed(&mut self) -> bool {
        let expired = self.lapses.take_expired(Instant::now());
        self.drop_all(&expired)
    }

    /// Takes all upstreams as gone whose entries have lapsed. Whether there were any.
    pub fn end_lapses(&mut self) -> bool {
        let lapsed = self.lapses.take_all();
        self.drop_all(&lapsed)
    }

    fn drop_all(
        &mut self,
        expired: &[String],
    ) -> bool {
        for id in expired {
            self.entries.remove(id);
            log::info!(upstream = id.as_str(); "upstream gone: its entry did not come back");
        }
        !expired.is_empty()
    }

    fn take_one(
        &mut self,
        record: &UpstreamRecord,
        from: &Arc<str>,
    ) -> bool {
        // A whole reading had all that was written before it: an answer that was given
        // before, and comes after it, would list an upstream that has gone since for as long
        // as the process lives.
        let known = self.records.get(&record.id);
        let reached = known.map_or(0, |known| known.record.revision);
        if record.revision <= reached.max(self.since) {
            return false;
        }
        let entry = self.parse(record, from);
        let told = ToldRecord {
            record: UpstreamRecord {
                text: match entry {
                    Some(_) => record.text.clone(),
                    None => record.text.as_ref().map(|_| String::new()),
                },
                ..record.clone()
            },
            from: from.clone(),
        };
        self.records.insert(record.id.clone(), told);
        let before = self.entries.get(&record.id);
        // How long it is slow counts from when it is heard: the same again is news.
        let is_slow = entry
            .as_ref()
            .is_some_and(|entry| !entry.slow_for.is_zero());
        let same = before.map(|entry| &**entry) == entry.as_deref() && !is_slow;
        let was_ready = before.is_some_and(|entry| entry.state == UpstreamState::Ready);
        let is_gone = record.text.is_none();
        if is_gone && was_ready && self.lapses.keeps(&record.id, Instant::now()) {
            log::info!(
                upstream = record.id.as_str(), revision = record.revision, from = &**from;
                "upstream's entry lapsed: kept for a moment"
            );
            return false;
        }
        self.lapses.forget(&record.id);
        if !same {
            log::info!(
                upstream = record.id.as_str(), revision = record.revision, from = &**from;
                "upstream {}", entry.as_ref().map_or("gone".to_owned(), |e| format!("{:?}", e.state))
            );
        }
        match entry {
            Some(entry) => self.entries.insert(record.id.clone(), entry),
            None => self.entries.remove(&record.id),
        };
        !same
    }

    /// The upstream that a record names. One that names none is known all the same, so
    /// that its revision and its removal go on; its text is not kept.
    fn parse(
        &self,
        record: &UpstreamRecord,
        from: &str,
    ) -> Option<Arc<UpstreamEntry>> {
        let text = record.text.as_ref()?;
        let parsed = (self.parse)(&record.id, text);
        let parsed = parsed.and_then(|entry| match self.own.contains(&entry.address) {
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
                    revision = record.revision, from = from;
                    "upstream entry cannot be used: {error}"
                );
                None
            }
        }
    }
}
