use {
    super::StreamQueryMessage,
    crate::{
        ops::STREAM_ORIGINS_DROPPED,
        policy::{
            Moment,
            streams::{
                OriginBatches, OriginFinding, OriginHomes, OriginQueries, OriginQuery,
                OriginRecords, QueryId, SoftwareVersion, StreamKey, StreamOrigin,
            },
        },
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Shortest time between two log lines about dropped records.
const DROPPED_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The software versions at which streams began, as far as this router knows them, and its queries
/// for others.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    state: Mutex<OriginState>, // a leaf lock
    has_unsent: Notify,        // wakes the task that sends records and queries
}

#[derive(Debug, Default)]
struct OriginState {
    records: OriginRecords,
    queries: OriginQueries,
    unsent_queries: Vec<(SocketAddr, StreamQueryMessage)>,
    callers: HashMap<QueryId, Arc<Notify>>, // woken when their query is settled
    dropped: u64,                           // records, since that was last logged
    dropped_logged_at: Option<Moment>,
}

impl OriginState {
    fn apply_finding(
        &mut self,
        from: SocketAddr,
        key: StreamKey,
        finding: OriginFinding,
        passed_on: usize,
    ) {
        for id in self.queries.apply(key, from, finding, passed_on) {
            if let Some(caller) = self.callers.get(&id) {
                caller.notify_one();
            }
        }
    }

    fn log_dropped(
        &mut self,
        now: Moment,
    ) {
        let dropped = self.records.take_dropped();
        metrics::counter!(STREAM_ORIGINS_DROPPED).increment(dropped);
        self.dropped += dropped;
        let last = self.dropped_logged_at;
        let is_due = last.is_none_or(|at| now.saturating_sub(at) >= DROPPED_LOG_INTERVAL);
        if self.dropped > 0 && is_due {
            log::warn!(
                dropped = std::mem::take(&mut self.dropped), held = self.records.len();
                "too many streams: records of their software versions were dropped"
            );
            self.dropped_logged_at = Some(now);
        }
    }
}

impl StreamOrigins {
    /// Records that a stream began or went on at this router, and wakes the task that tells other
    /// routers.
    pub fn record(
        &self,
        now: Moment,
        key: StreamKey,
        version: SoftwareVersion,
        time_left: Duration,
    ) {
        let mut state = self.state();
        if state.records.record_own(now, key, version, time_left) {
            drop(state);
            self.has_unsent.notify_one();
        }
    }

    /// What this router knows of the origin of a stream.
    pub fn find(
        &self,
        now: Moment,
        key: StreamKey,
    ) -> OriginFinding {
        self.state().records.find(now, key)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.state().records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of queries whose callers wait.
    pub fn pending_queries(&self) -> usize {
        self.state().queries.len()
    }

    /// Applies records that a router sent.
    pub(super) fn apply(
        &self,
        now: Moment,
        from: SocketAddr,
        origins: &[StreamOrigin],
    ) {
        let mut state = self.state();
        for origin in origins {
            if state.records.apply(now, origin) {
                self.has_unsent.notify_one();
            }
            let finding = state.records.find(now, origin.key);
            if finding != OriginFinding::Unknown {
                state.apply_finding(from, origin.key, finding, 0);
            }
        }
    }

    /// Applies an answer to a query.
    pub(super) fn apply_answer(
        &self,
        from: SocketAddr,
        key: StreamKey,
        finding: OriginFinding,
        passed_on: usize,
    ) {
        self.state().apply_finding(from, key, finding, passed_on);
    }

    /// Waits until there is something to send.
    pub(super) async fn wait_for_unsent(&self) {
        self.has_unsent.notified().await;
    }

    /// Takes the records that are to be sent, by receiver.
    pub(super) fn take_unsent(
        &self,
        now: Moment,
        homes: OriginHomes,
    ) -> OriginBatches {
        self.state().records.take_unsent(now, homes)
    }

    /// Takes the queries that are to be sent.
    pub(super) fn take_unsent_queries(&self) -> Vec<(SocketAddr, StreamQueryMessage)> {
        std::mem::take(&mut self.state().unsent_queries)
    }

    /// Removes expired records, and logs that others were dropped.
    pub(super) fn remove_expired(
        &self,
        now: Moment,
    ) {
        let mut state = self.state();
        state.records.remove_expired(now);
        state.log_dropped(now);
    }

    /// Adds a query; `None` if too many are pending. The caller is woken when it is settled.
    pub(super) fn begin_query(
        &self,
        key: StreamKey,
    ) -> Option<(QueryId, Arc<Notify>)> {
        let mut state = self.state();
        let id = state.queries.begin(key)?;
        let caller = Arc::new(Notify::new());
        state.callers.insert(id, caller.clone());
        Some((id, caller))
    }

    /// Changes a pending query, and queues the messages that follow from the change.
    pub(super) fn change_query(
        &self,
        id: QueryId,
        change: impl FnOnce(&mut OriginQuery) -> Vec<(SocketAddr, StreamQueryMessage)>,
    ) {
        let mut state = self.state();
        let messages = state.queries.get_mut(id).map(change).unwrap_or_default();
        if !messages.is_empty() {
            state.unsent_queries.extend(messages);
            drop(state);
            self.has_unsent.notify_one();
        }
    }

    /// Reads the state of a pending query.
    pub(super) fn read_query<T>(
        &self,
        id: QueryId,
        read: impl FnOnce(&OriginQuery) -> T,
    ) -> Option<T> {
        self.state().queries.get_mut(id).map(|query| read(query))
    }

    /// Removes a query, after it ended or its caller left.
    pub(super) fn end_query(
        &self,
        id: QueryId,
    ) {
        let mut state = self.state();
        state.queries.end(id);
        state.callers.remove(&id);
    }

    fn state(&self) -> MutexGuard<'_, OriginState> {
        self.state.lock().expect("stream origins lock")
    }
}
