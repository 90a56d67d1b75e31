use {
    crate::policy::{CurrentDemand, DrainRate, HostSet, Moment, PrefixMemory, WaitingRequest},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// How many of the most urgent requests are searched for a cached prefix.
const PREFIX_CANDIDATES: usize = 16;

/// Requests by deadline and id.
type Bucket = BTreeMap<(Moment, u64), WaitingRequest>;

/// The requests of one account that wait at a router, by deadline, in a bucket for each set of
/// hosts that may serve them.
#[derive(Debug, Clone, Default)]
pub struct AccountQueue {
    buckets: HashMap<HostSet, Bucket>,
    arrivals: BTreeMap<u64, Moment>, // by request id, oldest first
    pub bytes: u64,
    pub drain: DrainRate,
}

impl AccountQueue {
    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.arrivals.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.arrivals.is_empty()
    }

    /// Adds a request.
    pub fn push(
        &mut self,
        request: WaitingRequest,
    ) {
        self.bytes += request.bytes;
        self.arrivals.insert(request.id, request.arrived);
        self.buckets
            .entry(request.hosts.clone())
            .or_default()
            .insert((request.deadline, request.id), request);
    }

    /// Removes a request.
    pub fn remove(
        &mut self,
        hosts: &HostSet,
        deadline: Moment,
        id: u64,
    ) -> Option<WaitingRequest> {
        let bucket = self.buckets.get_mut(hosts)?;
        let request = bucket.remove(&(deadline, id))?;
        if bucket.is_empty() {
            self.buckets.remove(hosts);
        }
        self.arrivals.remove(&id);
        self.bytes -= request.bytes;
        Some(request)
    }

    /// Removes and returns the best request that a host may serve: the most urgent one, or one
    /// whose prefix the host served last and that arrived at most `slack` after it.
    pub fn take_for(
        &mut self,
        host: &str,
        prefixes: &PrefixMemory,
        slack: Duration,
    ) -> Option<WaitingRequest> {
        let urgent = self.most_urgent(host)?;
        let latest_arrival = urgent.arrived + slack;
        let cached = self
            .bucket_heads(host)
            .filter(|request| request.arrived <= latest_arrival)
            .find(|request| {
                let served_by = request.prefix.and_then(|prefix| prefixes.host(prefix));
                served_by.is_some_and(|served_by| &**served_by == host)
            });
        let chosen = cached.unwrap_or(urgent);
        let (hosts, deadline, id) = (chosen.hosts.clone(), chosen.deadline, chosen.id);
        self.remove(&hosts, deadline, id)
    }

    /// The demand for a host; `None` if nothing waits for it.
    pub fn demand_for(
        &self,
        host: &str,
    ) -> Option<CurrentDemand> {
        let mut demand: Option<CurrentDemand> = None;
        for bucket in self.buckets_of(host) {
            let Some(first) = bucket.values().next() else {
                continue;
            };
            let count = bucket.len() as u32;
            let so_far = demand.get_or_insert(CurrentDemand {
                count: 0,
                deadline: first.deadline,
                oldest: first.arrived,
            });
            so_far.count += count;
            so_far.deadline = so_far.deadline.min(first.deadline);
            so_far.oldest = so_far.oldest.min(first.arrived);
        }
        demand
    }

    /// Hosts that at least one waiting request may run on; some may come more than once.
    pub fn hosts(&self) -> impl Iterator<Item = &Arc<str>> {
        self.buckets.keys().flat_map(|hosts| hosts.iter())
    }

    /// When the oldest request arrived.
    pub fn oldest(&self) -> Option<Moment> {
        self.arrivals.values().next().copied()
    }

    /// The least urgent request.
    pub fn least_urgent(&self) -> Option<&WaitingRequest> {
        self.buckets
            .values()
            .filter_map(|bucket| bucket.values().next_back())
            .max_by_key(|request| (request.deadline, request.id))
    }

    /// Requests whose deadline has passed.
    pub fn overdue(
        &self,
        now: Moment,
    ) -> Vec<WaitingRequest> {
        self.buckets
            .values()
            .flat_map(|bucket| bucket.range(..(now, u64::MAX)))
            .map(|(_, request)| request.clone())
            .collect()
    }

    fn most_urgent(
        &self,
        host: &str,
    ) -> Option<&WaitingRequest> {
        self.buckets_of(host)
            .filter_map(|bucket| bucket.values().next())
            .min_by_key(|request| (request.deadline, request.id))
    }

    fn bucket_heads(
        &self,
        host: &str,
    ) -> impl Iterator<Item = &WaitingRequest> {
        self.buckets_of(host)
            .flat_map(|bucket| bucket.values().take(PREFIX_CANDIDATES))
    }

    fn buckets_of(
        &self,
        host: &str,
    ) -> impl Iterator<Item = &Bucket> {
        self.buckets
            .iter()
            .filter(move |(hosts, _)| hosts.binary_search_by(|h| (**h).cmp(host)).is_ok())
            .map(|(_, bucket)| bucket)
    }
}
