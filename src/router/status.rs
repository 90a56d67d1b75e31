//! The status that a router reports to operators.

use {
    super::router::Router,
    crate::{
        fleet::AccountId,
        ops::{
            AccountStatus, AuditTrail, PeerStatus, ProcessStatus, StatusSource, WAITING_REQUESTS,
        },
        policy::RequestQueue,
    },
    std::collections::{BTreeSet, HashMap},
};

impl StatusSource for Router {
    fn status(&self) -> ProcessStatus {
        let mut status = self.node.status();
        {
            let waiting = self.waiting.lock().expect("waiting lock");
            status.waiting = waiting.queue.len() as u64;
            metrics::gauge!(WAITING_REQUESTS).set(waiting.queue.len() as f64);
            status.accounts = self.account_statuses(&waiting.queue);
        }
        status.running = self.open_requests().saturating_sub(status.waiting);
        status.kept_accounts = self.aggregator.lock().expect("aggregator lock").len() as u64;
        if let Some(link) = self.link() {
            status.peers = PeerStatus::of_link(link);
            status.control_bytes = link.counters().totals();
            status.link_bytes = link.sent_bytes();
        }
        status
    }

    fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    fn audit(&self) -> &AuditTrail {
        &self.node.audit
    }
}

impl Router {
    /// The accounts whose fleet totals this router sums, or that have requests waiting here.
    fn account_statuses(
        &self,
        queue: &RequestQueue,
    ) -> Vec<AccountStatus> {
        let totals: HashMap<_, _> = {
            let aggregator = self.aggregator.lock().expect("aggregator lock");
            aggregator.totals().collect()
        };
        let waiting: HashMap<_, _> = queue
            .queues()
            .map(|(id, queue)| (id, queue.len() as u64))
            .collect();
        let config = self.node.config.current();
        let share = |id| config.as_ref().and_then(|c| c.config.share(id));
        let ids: BTreeSet<AccountId> = totals.keys().chain(waiting.keys()).copied().collect();
        ids.into_iter()
            .map(|id| AccountStatus {
                account: self.node.account_name(id),
                share: share(id).unwrap_or(1.0),
                own: 0.0,
                total: totals.get(&id).copied().unwrap_or(0.0),
                waiting: waiting.get(&id).copied().unwrap_or(0),
            })
            .collect()
    }
}
