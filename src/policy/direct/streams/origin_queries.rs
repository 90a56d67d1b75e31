use {
    super::{OriginFinding, OriginQuery, QueryId, StreamKey},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
    },
};

/// Queries that may be pending at once.
const MAX_QUERIES: usize = 1024;

/// The pending queries of a router. Several may be for the same stream; an answer counts for all
/// of them, since the origin of a stream does not change.
#[derive(Debug)]
pub struct OriginQueries {
    pending: HashMap<StreamKey, BTreeMap<u64, OriginQuery>>,
    count: usize,
    next_number: u64,
    max_queries: usize,
}

impl Default for OriginQueries {
    fn default() -> Self {
        Self::with_limit(MAX_QUERIES)
    }
}

impl OriginQueries {
    /// No queries, and at most this many at once.
    pub fn with_limit(max_queries: usize) -> Self {
        Self {
            pending: HashMap::new(),
            count: 0,
            next_number: 0,
            max_queries,
        }
    }

    /// Adds a query; `None` if too many are pending.
    pub fn begin(
        &mut self,
        key: StreamKey,
    ) -> Option<QueryId> {
        if self.count >= self.max_queries {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.count += 1;
        let of_stream = self.pending.entry(key).or_default();
        of_stream.insert(number, OriginQuery::default());
        Some(QueryId { key, number })
    }

    /// A pending query.
    pub fn get_mut(
        &mut self,
        id: QueryId,
    ) -> Option<&mut OriginQuery> {
        self.pending.get_mut(&id.key)?.get_mut(&id.number)
    }

    /// Removes a query, after it ended or its caller left.
    pub fn end(
        &mut self,
        id: QueryId,
    ) {
        let Some(of_stream) = self.pending.get_mut(&id.key) else {
            return;
        };
        if of_stream.remove(&id.number).is_some() {
            self.count -= 1;
        }
        if of_stream.is_empty() {
            self.pending.remove(&id.key);
        }
    }

    /// Applies an answer. Returns the queries that are settled by it.
    pub fn apply(
        &mut self,
        key: StreamKey,
        from: SocketAddr,
        finding: OriginFinding,
        passed_on: usize,
    ) -> Vec<QueryId> {
        let Some(of_stream) = self.pending.get_mut(&key) else {
            return Vec::new();
        };
        let settled = of_stream.iter_mut().filter_map(|(number, query)| {
            query.apply(from, finding, passed_on);
            query.is_settled().then_some(QueryId {
                key,
                number: *number,
            })
        });
        settled.collect()
    }

    /// Number of pending queries.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether no query is pending.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}
