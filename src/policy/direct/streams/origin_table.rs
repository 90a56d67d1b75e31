use {
    super::{OriginFinding, SoftwareVersion, StreamKey, StreamOrigin},
    crate::policy::Moment,
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// Records in the table, at some 150 bytes each.
const MAX_RECORDS: usize = 65_536;

/// Longest life of a record. Deadlines are set by callers and may be absurdly late.
const MAX_LIFE: Duration = Duration::from_secs(600);

/// A later expiry of a known record is sent to other routers only if it gains this much.
const MIN_EXTENSION: Duration = Duration::from_secs(1);

/// The origins of streams that this router knows of, each until its caller's deadline. If there
/// are too many, those that expire next are dropped.
#[derive(Debug)]
pub struct OriginTable {
    records: HashMap<StreamKey, Record>,
    by_expiry: BTreeSet<(Moment, StreamKey)>,
    own: BTreeSet<StreamKey>, // of streams that this router began or continued
    max_records: usize,
    dropped: u64, // since `take_dropped`
}

#[derive(Debug, Clone, Copy)]
struct Record {
    version: Option<SoftwareVersion>, // `None` if it is ambiguous
    expires: Moment,
}

impl Default for OriginTable {
    fn default() -> Self {
        Self::with_limit(MAX_RECORDS)
    }
}

impl OriginTable {
    /// An empty table for at most this many records.
    pub fn with_limit(max_records: usize) -> Self {
        Self {
            records: HashMap::new(),
            by_expiry: BTreeSet::new(),
            own: BTreeSet::new(),
            max_records,
            dropped: 0,
        }
    }

    /// Records that a stream began or went on at this router. Returns whether other routers have
    /// to be told.
    pub fn record_own(
        &mut self,
        now: Moment,
        key: StreamKey,
        version: SoftwareVersion,
        time_left: Duration,
    ) -> bool {
        let before = self.live(now, key);
        self.merge(now, key, Some(version), time_left);
        let Some(after) = self.live(now, key) else {
            return false;
        };
        let is_new_here = self.own.insert(key);
        let is_changed = before.is_none_or(|before| {
            before.version != after.version || after.expires >= before.expires + MIN_EXTENSION
        });
        is_new_here || is_changed
    }

    /// Applies a record of another router. Returns whether it made a record of this router's own
    /// ambiguous, so that other routers have to be told.
    pub fn apply(
        &mut self,
        now: Moment,
        origin: &StreamOrigin,
    ) -> bool {
        let before = self.live(now, origin.key);
        let time_left = Duration::from_millis(u64::from(origin.remaining_ms));
        self.merge(now, origin.key, origin.version, time_left);
        let after = self.live(now, origin.key);
        let version = |record: Option<Record>| record.map(|record| record.version);
        self.own.contains(&origin.key) && version(before) != version(after)
    }

    /// What is known of a stream's origin.
    pub fn find(
        &self,
        now: Moment,
        key: StreamKey,
    ) -> OriginFinding {
        match self.live(now, key).map(|record| record.version) {
            None => OriginFinding::Unknown,
            Some(None) => OriginFinding::Ambiguous,
            Some(Some(version)) => OriginFinding::Known(version),
        }
    }

    /// The record of a stream, to be sent to other routers.
    pub fn origin(
        &self,
        now: Moment,
        key: StreamKey,
    ) -> Option<StreamOrigin> {
        let record = self.live(now, key)?;
        let remaining = record.expires.saturating_sub(now).as_millis();
        Some(StreamOrigin {
            key,
            version: record.version,
            remaining_ms: remaining.try_into().unwrap_or(u32::MAX),
        })
    }

    /// The streams that this router began or continued.
    pub fn own_keys(&self) -> impl Iterator<Item = StreamKey> {
        self.own.iter().copied()
    }

    /// Removes expired records.
    pub fn remove_expired(
        &mut self,
        now: Moment,
    ) {
        while let Some((expires, key)) = self.by_expiry.first().copied()
            && expires <= now
        {
            self.remove(key);
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Takes the number of live records that were dropped for lack of space.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Adds what a record says. Unknown, one version and ambiguous follow each other and never
    /// turn back, and the later expiry holds, so that the order of records does not matter.
    fn merge(
        &mut self,
        now: Moment,
        key: StreamKey,
        version: Option<SoftwareVersion>,
        time_left: Duration,
    ) {
        if time_left.is_zero() {
            return;
        }
        let expires = now + time_left.min(MAX_LIFE);
        let merged = match self.live(now, key) {
            None => Record { version, expires },
            Some(known) => Record {
                version: known.version.filter(|_| known.version == version),
                expires: known.expires.max(expires),
            },
        };
        if let Some(known) = self.records.insert(key, merged) {
            self.by_expiry.remove(&(known.expires, key));
        }
        self.by_expiry.insert((merged.expires, key));
        if self.records.len() > self.max_records
            && let Some((expires, first)) = self.by_expiry.first().copied()
        {
            self.remove(first);
            self.dropped += u64::from(expires > now);
        }
    }

    fn live(
        &self,
        now: Moment,
        key: StreamKey,
    ) -> Option<Record> {
        let record = self.records.get(&key).copied();
        record.filter(|record| record.expires > now)
    }

    fn remove(
        &mut self,
        key: StreamKey,
    ) {
        if let Some(record) = self.records.remove(&key) {
            self.by_expiry.remove(&(record.expires, key));
        }
        self.own.remove(&key);
    }
}
