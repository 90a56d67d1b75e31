use {
    super::{
        OriginBatches, OriginFinding, OriginHomes, OriginReceiver, OriginTable, SoftwareVersion,
        StreamKey, StreamOrigin,
    },
    crate::policy::Moment,
    std::{collections::BTreeSet, time::Duration},
};

/// The records of a router, and to which homes its own ones were sent.
#[derive(Debug, Default)]
pub struct OriginRecords {
    table: OriginTable,
    unsent: BTreeSet<StreamKey>, // new or changed records of this router
    homes: OriginHomes,          // to which its other records were sent
}

impl OriginRecords {
    /// Records that a stream began or went on at this router. Returns whether there is something
    /// to send.
    pub fn record_own(
        &mut self,
        now: Moment,
        key: StreamKey,
        version: SoftwareVersion,
        time_left: Duration,
    ) -> bool {
        let is_due = self.table.record_own(now, key, version, time_left);
        is_due && self.unsent.insert(key)
    }

    /// Applies a record of another router. Returns whether there is something to send.
    pub fn apply(
        &mut self,
        now: Moment,
        origin: &StreamOrigin,
    ) -> bool {
        self.table.apply(now, origin) && self.unsent.insert(origin.key)
    }

    /// What is known of a stream's origin.
    pub fn find(
        &self,
        now: Moment,
        key: StreamKey,
    ) -> OriginFinding {
        self.table.find(now, key)
    }

    /// Takes the records that are to be sent: new ones to their homes, and the others of this
    /// router to those that have become their homes.
    pub fn take_unsent(
        &mut self,
        now: Moment,
        homes: OriginHomes,
    ) -> OriginBatches {
        let mut batches = OriginBatches::new();
        let unsent = std::mem::take(&mut self.unsent);
        if homes.differs_from(&self.homes) {
            for key in self.table.own_keys().filter(|key| !unsent.contains(key)) {
                if let Some(origin) = self.table.origin(now, key) {
                    add_to_batches(&mut batches, origin, homes.added_since(&self.homes, key));
                }
            }
        }
        for key in unsent {
            if let Some(origin) = self.table.origin(now, key) {
                add_to_batches(&mut batches, origin, homes.receivers(key));
            }
        }
        self.homes = homes;
        batches
    }

    /// Removes expired records.
    pub fn remove_expired(
        &mut self,
        now: Moment,
    ) {
        self.table.remove_expired(now);
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Takes the number of live records that were dropped for lack of space.
    pub fn take_dropped(&mut self) -> u64 {
        self.table.take_dropped()
    }
}

fn add_to_batches(
    batches: &mut OriginBatches,
    origin: StreamOrigin,
    receivers: Vec<OriginReceiver>,
) {
    for receiver in receivers {
        batches.entry(receiver).or_default().push(origin);
    }
}
