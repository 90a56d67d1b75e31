use {
    crate::policy::{AccountQueue, Moment, PrefixMemory, WaitingRequest},
    crate::{codes::ResultCode, fleet::AccountId},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Limits on what may wait at one router.
#[derive(Debug, Clone, Copy)]
pub struct QueueBounds {
    pub requests: usize,
    pub bytes: u64,
    pub per_account: usize, // requests
    pub refuse_early: bool, // at arrival, if the request is not expected to start in time
}

/// A request that is dropped from the queue, and the answer to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShedRequest {
    pub id: u64,
    pub code: ResultCode,
    pub retry_after: Duration,
}

/// The requests that wait at a router, in a queue for each client account.
#[derive(Debug, Clone)]
pub struct RequestQueue {
    queues: BTreeMap<AccountId, AccountQueue>,
    bounds: QueueBounds,
    requests: usize,
    bytes: u64,
    prefixes: PrefixMemory,
    prefix_slack: Duration,
}

impl RequestQueue {
    /// Creates an empty queue.
    pub fn new(
        bounds: QueueBounds,
        prefix_slack: Duration,
    ) -> Self {
        Self {
            queues: BTreeMap::new(),
            bounds,
            requests: 0,
            bytes: 0,
            prefixes: PrefixMemory::default(),
            prefix_slack,
        }
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.requests == 0
    }

    /// Bytes of memory held by the waiting requests.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds a request. Returns the requests that are dropped for it: itself, or the least
    /// urgent ones of the account that holds most.
    pub fn push(
        &mut self,
        now: Moment,
        request: WaitingRequest,
    ) -> Vec<ShedRequest> {
        let queue = self.queues.entry(request.account).or_default();
        let waiting = queue.len();
        let refusal = if waiting >= self.bounds.per_account {
            Some(ResultCode::TooManyWaiting)
        } else if self.bounds.refuse_early && misses_deadline(queue, now, &request) {
            Some(ResultCode::PatienceTooShort)
        } else {
            None
        };
        if let Some(code) = refusal {
            return vec![shed(&request, queue, now, code)];
        }
        self.requests += 1;
        self.bytes += request.bytes;
        queue.push(request);
        self.shed_excess(now)
    }

    /// Puts back a request that a sidecar returned before starting it. It keeps its place and
    /// is never refused.
    pub fn requeue(
        &mut self,
        request: WaitingRequest,
    ) {
        self.requests += 1;
        self.bytes += request.bytes;
        self.queues
            .entry(request.account)
            .or_default()
            .push(request);
    }

    /// Removes and returns the request to send for a grant of a host to an account.
    pub fn take_for_host(
        &mut self,
        now: Moment,
        host: &Arc<str>,
        account: AccountId,
    ) -> Option<WaitingRequest> {
        let queue = self.queues.get_mut(&account)?;
        let request = queue.take_for(host, &self.prefixes, self.prefix_slack)?;
        queue.drain.started(now);
        self.requests -= 1;
        self.bytes -= request.bytes;
        if let Some(prefix) = request.prefix {
            self.prefixes.served(prefix, host);
        }
        Some(request)
    }

    /// Records that a host serves a request's prefix, for a request that did not wait.
    pub fn record_prefix_host(
        &mut self,
        request: &WaitingRequest,
        host: &Arc<str>,
    ) {
        if let Some(prefix) = request.prefix {
            self.prefixes.served(prefix, host);
        }
    }

    /// The host that served a request's prefix last.
    pub fn prefix_host(
        &self,
        request: &WaitingRequest,
    ) -> Option<&Arc<str>> {
        self.prefixes.host(request.prefix?)
    }

    /// Removes a request whose caller is gone. Returns whether it was waiting.
    pub fn remove(
        &mut self,
        request: &WaitingRequest,
    ) -> bool {
        let removed = self
            .queues
            .get_mut(&request.account)
            .and_then(|queue| queue.remove(&request.hosts, request.deadline, request.id));
        if let Some(removed) = &removed {
            self.requests -= 1;
            self.bytes -= removed.bytes;
        }
        removed.is_some()
    }

    /// Drops the requests whose deadline has passed, and returns them to be answered at once.
    pub fn shed_overdue(
        &mut self,
        now: Moment,
    ) -> Vec<ShedRequest> {
        let mut dropped = Vec::new();
        let mut requests = Vec::new();
        for queue in self.queues.values() {
            for request in queue.overdue(now) {
                dropped.push(shed(&request, queue, now, ResultCode::PatienceOver));
                requests.push(request);
            }
        }
        for request in &requests {
            self.remove(request);
        }
        self.queues
            .retain(|_, queue| !queue.is_empty() || drains_fast(queue, now));
        dropped
    }

    /// Whether an account has requests waiting.
    pub fn is_waiting(
        &self,
        account: AccountId,
    ) -> bool {
        self.queues
            .get(&account)
            .is_some_and(|queue| !queue.is_empty())
    }

    /// Each account's queue.
    pub fn queues(&self) -> impl Iterator<Item = (AccountId, &AccountQueue)> {
        self.queues.iter().map(|(account, queue)| (*account, queue))
    }

    /// How long the oldest request has waited.
    pub fn oldest_wait(
        &self,
        now: Moment,
    ) -> Duration {
        self.queues
            .values()
            .filter_map(AccountQueue::oldest)
            .min()
            .map_or(Duration::ZERO, |oldest| now.saturating_sub(oldest))
    }

    /// Drops all waiting requests with this code, as the router stops.
    pub fn drain_all(
        &mut self,
        now: Moment,
        code: ResultCode,
    ) -> Vec<ShedRequest> {
        let everything: Vec<WaitingRequest> = self
            .queues
            .values()
            .flat_map(|queue| queue.overdue(Moment::MAX))
            .collect();
        everything
            .iter()
            .filter_map(|request| {
                let queue = self.queues.get(&request.account)?;
                let dropped = shed(request, queue, now, code);
                self.remove(request).then_some(dropped)
            })
            .collect()
    }

    fn shed_excess(
        &mut self,
        now: Moment,
    ) -> Vec<ShedRequest> {
        let mut dropped = Vec::new();
        while self.requests > self.bounds.requests || self.bytes > self.bounds.bytes {
            let Some(request) = self.excess_request() else {
                break;
            };
            let queue = &self.queues[&request.account];
            dropped.push(shed(&request, queue, now, ResultCode::TooManyWaiting));
            self.remove(&request);
        }
        dropped
    }

    /// The least urgent request of the account that holds most, in bytes or requests, whichever
    /// limit is exceeded.
    fn excess_request(&self) -> Option<WaitingRequest> {
        let by_bytes = self.bytes > self.bounds.bytes;
        let fullest = self.queues.values().max_by_key(|queue| {
            let requests = queue.len() as u64;
            if by_bytes { queue.bytes } else { requests }
        })?;
        fullest.least_urgent().cloned()
    }
}

fn misses_deadline(
    queue: &AccountQueue,
    now: Moment,
    request: &WaitingRequest,
) -> bool {
    let time_left = request.deadline.saturating_sub(now);
    queue
        .drain
        .wait(now, queue.len() + 1)
        .is_some_and(|wait| wait > time_left)
}

/// Whether the queue's rate is worth keeping although the queue is empty.
fn drains_fast(
    queue: &AccountQueue,
    now: Moment,
) -> bool {
    queue
        .drain
        .wait(now, 1)
        .is_some_and(|wait| wait < Duration::from_secs(1))
}

fn shed(
    request: &WaitingRequest,
    queue: &AccountQueue,
    now: Moment,
    code: ResultCode,
) -> ShedRequest {
    ShedRequest {
        id: request.id,
        code,
        retry_after: queue.drain.retry_after(now, queue.len()),
    }
}
