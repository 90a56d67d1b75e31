use {
    super::wait_outcome::WaitOutcome,
    crate::{
        fleet::AccountId,
        link::Peer,
        policy::{GrantNumber, Moment, RequestQueue, ShedRequest, WaitingRequest},
    },
    std::{collections::HashMap, sync::Arc},
    tokio::sync::oneshot,
};

/// The queues of waiting requests, with a channel to each request's task. The whole table
/// is behind one lock.
pub struct WaitingTable {
    pub queue: RequestQueue,
    waiters: HashMap<u64, oneshot::Sender<WaitOutcome>>, // by request id
}

impl WaitingTable {
    /// An empty table.
    pub fn new(queue: RequestQueue) -> Self {
        Self {
            queue,
            waiters: HashMap::new(),
        }
    }

    /// Queues a request; `is_requeued` if a sidecar handed it back. The receiver gets the outcome.
    pub fn enqueue(
        &mut self,
        now: Moment,
        request: WaitingRequest,
        is_requeued: bool,
    ) -> oneshot::Receiver<WaitOutcome> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(request.id, sender);
        if is_requeued {
            self.queue.requeue(request);
        } else {
            let shed = self.queue.push(now, request);
            self.reject(shed);
        }
        receiver
    }

    /// Assigns a grant to the account's most suitable waiting request. False if none waits.
    pub fn assign_grant(
        &mut self,
        now: Moment,
        peer: &Arc<Peer>,
        account: AccountId,
        grant: GrantNumber,
    ) -> bool {
        while let Some(request) = self.queue.take_for_host(now, &peer.host, account) {
            let outcome = WaitOutcome::Granted {
                peer: peer.clone(),
                grant,
            };
            if self.resolve(request.id, outcome) {
                return true;
            }
        }
        false
    }

    /// Notifies the requests that are shed.
    pub fn reject(
        &mut self,
        requests: Vec<ShedRequest>,
    ) {
        for shed in requests {
            self.resolve(shed.id, WaitOutcome::Shed(shed));
        }
    }

    fn resolve(
        &mut self,
        id: u64,
        outcome: WaitOutcome,
    ) -> bool {
        self.waiters
            .remove(&id)
            .is_some_and(|waiter| waiter.send(outcome).is_ok())
    }
}
