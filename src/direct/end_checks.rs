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

/// Answers that are lost within this time of each other are lost to one cause, and one
/// look at their replica serves them all.
const TOGETHER: Duration = Duration::from_millis(50);

/// Looks whether a replica that broke off answers has ended, or lives on and broke off
/// connections only.
#[derive(Default)]
pub struct EndChecks {
    checks: Mutex<HashMap<Arc<str>, Check>>, // by replica; a leaf lock
}

struct Check {
    begun: Instant,
    ended: Arc<OnceCell<bool>>,
}

impl EndChecks {
    /// Whether nothing listens at a replica's address any more.
    pub async fn has_ended(
        &self,
        pool: &UpstreamPool,
        entry: &UpstreamEntry,
    ) -> bool {
        let ended = self.check(&entry.id);
        *ended.get_or_init(|| pool.is_refused(entry)).await
    }

    fn check(
        &self,
        replica: &Arc<str>,
    ) -> Arc<OnceCell<bool>> {
        let now = Instant::now();
        let mut checks = self.checks.lock().expect("end checks lock");
        checks.retain(|_, check| now.duration_since(check.begun) < TOGETHER);
        let check = checks.entry(replica.clone()).or_insert_with(|| Check {
            begun: now,
            ended: Arc::default(),
        });
        check.ended.clone()
    }
}
