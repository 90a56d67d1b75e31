use {
    super::{ReplicaNotice, incarnation_notice::IncarnationNotice},
    crate::{catalog::UpstreamEntry, policy::Moment},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// How long a notice is retained while its replica is not listed. Entries lapse when the store
/// fails and return later, and the notices of their replicas are still in force then.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);

/// The notices that replicas sent to this process, and those on leaving that peers forwarded.
///
/// A notice applies to the incarnation of the replica that was listed when it was received, and to
/// that one only: a replica that has restarted has sent none yet. If the list was outdated, the
/// notice may have come from the next incarnation; see [`IncarnationNotice::applies_to`].
#[derive(Debug, Default)]
pub struct NoticeTracker {
    notices: HashMap<Arc<str>, Vec<IncarnationNotice>>, // by replica, one for each incarnation
}

impl NoticeTracker {
    /// Applies a notice of a replica, received at `unix_ms` by this host's clock. Returns
    /// whether it changes anything: the replica leaves, or a backoff begins.
    pub fn apply_notice(
        &mut self,
        now: Moment,
        unix_ms: u64,
        replica: &UpstreamEntry,
        notice: ReplicaNotice,
    ) -> bool {
        if notice.is_empty() {
            return false;
        }
        self.notice_mut(replica).apply(now, unix_ms, notice)
    }

    /// Applies a peer's message that a replica leaves, as of `unix_ms` by this host's clock.
    /// Returns whether this was unknown.
    pub fn apply_peer_leaving(
        &mut self,
        unix_ms: u64,
        replica: &UpstreamEntry,
    ) -> bool {
        self.notice_mut(replica).apply_peer_leaving(unix_ms)
    }

    /// Whether a replica announced to this process itself that it leaves.
    pub fn received_leaving_here(
        &self,
        replica: &UpstreamEntry,
    ) -> bool {
        let mut notices = self.notices_of(replica).iter();
        notices.any(|notice| {
            notice.started_unix_ms == replica.started_unix_ms && notice.was_received_here
        })
    }

    /// Whether a replica announced that it leaves.
    pub fn is_leaving(
        &self,
        now: Moment,
        replica: &UpstreamEntry,
    ) -> bool {
        self.applicable(now, replica)
            .any(|notice| notice.is_leaving)
    }

    /// The remaining time for which a replica wants no requests.
    pub fn backoff_remaining(
        &self,
        now: Moment,
        replica: &UpstreamEntry,
    ) -> Duration {
        let remaining = self
            .applicable(now, replica)
            .map(|notice| notice.backoff_remaining(now));
        remaining.max().unwrap_or_default()
    }

    /// Sets which replicas are listed. Notices of others are dropped after a while, and those
    /// that are over at once.
    pub fn set_listed(
        &mut self,
        now: Moment,
        listed: &[Arc<UpstreamEntry>],
    ) {
        if self.notices.is_empty() {
            return;
        }
        let starts: HashMap<&str, Option<u64>> = listed
            .iter()
            .map(|entry| (&*entry.id, entry.started_unix_ms))
            .collect();
        self.notices.retain(|id, notices| {
            let listed = starts.get(&**id);
            notices.retain_mut(|notice| {
                notice.set_listed(now, listed == Some(&notice.started_unix_ms));
                notice.unlisted_for(now) <= UNLISTED_RETENTION
                    && (notice.is_leaving || !notice.backoff_remaining(now).is_zero())
            });
            !notices.is_empty()
        });
    }

    /// The notices that apply to a replica's present incarnation.
    fn applicable(
        &self,
        now: Moment,
        replica: &UpstreamEntry,
    ) -> impl Iterator<Item = &IncarnationNotice> {
        let notices = self.notices_of(replica).iter();
        notices.filter(move |notice| notice.applies_to(now, replica.started_unix_ms))
    }

    fn notices_of(
        &self,
        replica: &UpstreamEntry,
    ) -> &[IncarnationNotice] {
        self.notices.get(&replica.id).map_or(&[], Vec::as_slice)
    }

    fn notice_mut(
        &mut self,
        replica: &UpstreamEntry,
    ) -> &mut IncarnationNotice {
        let notices = self.notices.entry(replica.id.clone()).or_default();
        let known = notices
            .iter()
            .position(|notice| notice.started_unix_ms == replica.started_unix_ms);
        let index = known.unwrap_or_else(|| {
            notices.push(IncarnationNotice::of(replica.started_unix_ms));
            notices.len() - 1
        });
        &mut notices[index]
    }
}
