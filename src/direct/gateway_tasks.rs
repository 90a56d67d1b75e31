//! What goes on beside requests: following the catalog, and tidying up.

use {
    super::gateway::Gateway,
    crate::fleet::Revision,
    std::{sync::Arc, time::Duration},
};

impl Gateway {
    /// Keeps the board and the pool in step with the list of replicas.
    pub async fn follow_catalog(self: Arc<Self>) {
        let mut changes = self.catalog.subscribe();
        let mut known = 0;
        loop {
            let version = self.catalog.version();
            if version.config != known {
                known = version.config;
                let revision = Some(Revision(known));
                let detail = format!("configuration {known} in force");
                self.audit.record("config_accepted", revision, None, detail);
            }
            if let Some(table) = self.catalog.config() {
                self.shares().set_capacity(table.limits.tokens_per_s);
            }
            let entries = self.catalog.upstreams();
            let restarted = self.board().set_entries(entries.clone());
            for replica in &restarted {
                log::info!(replica = &**replica; "replica started again: all of it is new");
            }
            if version.knows_both() {
                self.begin_placing();
            }
            self.pool.keep_only(|id| {
                let is_listed = entries.iter().any(|entry| &*entry.id == id);
                is_listed && !restarted.iter().any(|replica| &**replica == id)
            });
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Closes connections that have rested too long, and forgets old suspects.
    pub async fn tidy(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_secs(1)).await;
            self.pool.tidy();
            self.suspects().forget_old(self.now());
        }
    }
}
