use {
    super::{CarriedEntry, UpstreamRecord},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

/// How long an upstream that was gone in an earlier era stays unused when the store's copy lists
/// it. The entry of an ended upstream goes after three heartbeats, of 2 s at most; the rest is for
/// the store's return and for its change to arrive.
const WITHDRAWN_PERIOD: Duration = Duration::from_secs(10);

/// The upstreams whose entry of an earlier era of the store takes precedence over the one that the
/// store lists from its copy, until that is written again.
#[derive(Debug, Default)]
pub struct CarriedEntries {
    withdrawn: BTreeMap<String, Withdrawn>, // gone in the earlier era, by id
    kept: BTreeMap<String, u64>, // revisions of the records with a text of that era, by id
}

/// An upstream that was gone in an earlier era.
#[derive(Debug)]
struct Withdrawn {
    listed: UpstreamRecord, // as the store has it
    until: Instant,         // then it is used again if it is still listed
}

impl CarriedEntries {
    /// Removes all.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Records that an upstream that the store lists was gone.
    pub fn withdraw(
        &mut self,
        listed: UpstreamRecord,
        now: Instant,
    ) {
        self.withdraw_until(listed, now + WITHDRAWN_PERIOD);
    }

    /// The same, with the remaining time that a peer reported.
    pub fn withdraw_for(
        &mut self,
        listed: UpstreamRecord,
        remaining_ms: u32,
        now: Instant,
    ) {
        let remaining = Duration::from_millis(remaining_ms.into());
        self.withdraw_until(listed, now + remaining.min(WITHDRAWN_PERIOD));
    }

    fn withdraw_until(
        &mut self,
        listed: UpstreamRecord,
        until: Instant,
    ) {
        log::info!(
            upstream = listed.id.as_str();
            "upstream was gone before the store lost changes: not used unless it stays listed"
        );
        self.withdrawn
            .insert(listed.id.clone(), Withdrawn { listed, until });
    }

    /// Records that the text of a record is of the earlier era.
    pub fn keep(
        &mut self,
        record: &UpstreamRecord,
    ) {
        log::info!(
            upstream = record.id.as_str();
            "entry from before the store lost changes is kept instead of the listed one"
        );
        self.kept.insert(record.id.clone(), record.revision);
    }

    /// Removes what older entries of an upstream than this one gave rise to.
    pub fn remove_older(
        &mut self,
        record: &UpstreamRecord,
    ) {
        let is_older = |revision: u64| revision < record.revision;
        let withdrawn = self.withdrawn.get(&record.id);
        if withdrawn.is_some_and(|withdrawn| is_older(withdrawn.listed.revision)) {
            self.withdrawn.remove(&record.id);
        }
        if self.kept.get(&record.id).copied().is_some_and(is_older) {
            self.kept.remove(&record.id);
        }
    }

    /// Removes the withdrawn upstreams that a listing of this revision no longer has.
    pub fn retain_listed(
        &mut self,
        listed: &BTreeSet<&str>,
        revision: u64,
    ) {
        self.withdrawn
            .retain(|id, withdrawn| withdrawn.listed.revision > revision || listed.contains(&**id));
    }

    /// The record of a withdrawn upstream as the store lists it.
    pub fn listed(
        &self,
        id: &str,
    ) -> Option<&UpstreamRecord> {
        self.withdrawn.get(id).map(|withdrawn| &withdrawn.listed)
    }

    /// Takes out the withdrawn upstreams that were listed long enough.
    pub fn take_confirmed(
        &mut self,
        now: Instant,
    ) -> Vec<UpstreamRecord> {
        let confirmed = self
            .withdrawn
            .extract_if(.., |_, withdrawn| now >= withdrawn.until);
        confirmed.map(|(_, withdrawn)| withdrawn.listed).collect()
    }

    /// All of them, for peers. `records` returns the record of an upstream.
    pub fn for_peers<'r>(
        &self,
        records: impl Fn(&str) -> Option<&'r UpstreamRecord>,
        now: Instant,
    ) -> Vec<CarriedEntry> {
        let withdrawn = self.withdrawn.values().map(|withdrawn| CarriedEntry {
            record: UpstreamRecord {
                text: None,
                ..withdrawn.listed.clone()
            },
            remaining_ms: Some((withdrawn.until - now).as_millis() as u32),
        });
        let kept = self.kept.keys().filter_map(|id| records(id));
        let kept = kept.map(|record| CarriedEntry {
            record: record.clone(),
            remaining_ms: None,
        });
        withdrawn.chain(kept).collect()
    }
}
