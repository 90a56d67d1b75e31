use {
    super::upstream_pool::UpstreamPool,
    crate::catalog::UpstreamEntry,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{sync::OnceCell, time::Instant},
};

/// Answers of a replica that are lost within this time share one check: they most likely have
/// one cause.
const SHARED_CHECK_WINDOW: Duration = Duration::from_millis(50);

/// Checks whether a replica that cut off answers has exited, or is alive and only closed
/// connections.
#[derive(Default)]
pub struct ExitChecks {
    checks: Mutex<HashMap<Arc<str>, Check>>, // by replica id; a leaf lock
}

struct Check {
    started: Instant,
    has_exited: Arc<OnceCell<bool>>,
}

impl ExitChecks {
    /// Whether nothing listens at the replica's address any more.
    pub async fn has_exited(
        &self,
        pool: &UpstreamPool,
        entry: &UpstreamEntry,
    ) -> bool {
        let has_exited = self.check(&entry.id);
        *has_exited
            .get_or_init(|| pool.is_connection_refused(entry))
            .await
    }

    /// The check in progress for a replica, or a new one.
    fn check(
        &self,
        replica: &Arc<str>,
    ) -> Arc<OnceCell<bool>> {
        let now = Instant::now();
        let mut checks = self.checks.lock().expect("exit checks lock");
        checks.retain(|_, check| now.duration_since(check.started) < SHARED_CHECK_WINDOW);
        let check = checks.entry(replica.clone()).or_insert_with(|| Check {
            started: now,
            has_exited: Arc::default(),
        });
        check.has_exited.clone()
    }
}
