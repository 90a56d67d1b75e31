//! The status that a sidecar reports to operators.

use {
    super::{dispatch_table::DispatchTable, sidecar::Sidecar},
    crate::ops::{
        AccountStatus, AuditTrail, PeerStatus, ProcessStatus, RUNNING_REQUESTS, StatusSource,
    },
};

impl StatusSource for Sidecar {
    fn status(&self) -> ProcessStatus {
        let mut status = self.node.status();
        {
            let mut table = self.table.lock().expect("table lock");
            let running = table.dispatcher.running();
            let contended = table.dispatcher.waiting() > 0;
            table.clock.observe(self.node.now(), running, contended);
            metrics::gauge!(RUNNING_REQUESTS).set(running as f64);
            status.running = running as u64;
            status.waiting = table.dispatcher.waiting();
            status.slots = self.settings.slots;
            status.busy_slot_ms = table.clock.busy().as_millis() as u64;
            status.contended_ms = table.clock.contended_time().as_millis() as u64;
            status.contended_busy_slot_ms = table.clock.contended_busy().as_millis() as u64;
            status.accounts = self.account_statuses(&table);
        }
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

impl Sidecar {
    fn account_statuses(
        &self,
        table: &DispatchTable,
    ) -> Vec<AccountStatus> {
        table
            .dispatcher
            .ledger()
            .accounts()
            .map(|(id, own, total, share)| AccountStatus {
                account: self.node.account_name(id),
                share,
                own,
                total,
                waiting: table.dispatcher.waiting_of(id),
            })
            .collect()
    }
}
