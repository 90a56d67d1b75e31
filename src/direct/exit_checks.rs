use {
    super::upstream_pool::UpstreamPool,
    crate::catalog::UpstreamEntry,
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::OnceCell,
        time::{Instant, sleep},
    },
};

/// Time from the first lost answer to the check of its replica. Answers that are lost meanwhile
/// share the check, as most likely they have one cause.
const GATHER_TIME: Duration = Duration::from_millis(5);

/// How long a replica that was found to have exited counts as such without another check.
const EXIT_VALIDITY: Duration = Duration::from_millis(50);

/// Checks whether a replica that cut off answers has exited, or is alive and only closed
/// connections.
#[derive(Default)]
pub struct ExitChecks {
    checks: Mutex<HashMap<Arc<str>, Arc<Check>>>, // the last by replica id; a leaf lock
}

struct Check {
    created: Instant,
    has_begun: AtomicBool,
    has_exited: OnceCell<bool>,
}

impl Check {
    fn new() -> Self {
        Self {
            created: Instant::now(),
            has_begun: AtomicBool::new(false),
            has_exited: OnceCell::new(),
        }
    }

    /// Whether its result tells about an answer that is lost now. That a replica was alive when a
    /// check began does not.
    fn applies_now(&self) -> bool {
        let has_exited = self.has_exited.get() == Some(&true);
        let is_recent = self.created.elapsed() < EXIT_VALIDITY;
        is_recent && (has_exited || !self.has_begun.load(Ordering::Relaxed))
    }
}

impl ExitChecks {
    /// Whether nothing listens any more at the address of a replica of which an answer was lost
    /// just now.
    pub async fn has_exited(
        &self,
        pool: &UpstreamPool,
        entry: &UpstreamEntry,
    ) -> bool {
        let check = self.check(&entry.id);
        let run = async {
            sleep(GATHER_TIME).await;
            check.has_begun.store(true, Ordering::Relaxed);
            pool.is_connection_refused(entry).await
        };
        *check.has_exited.get_or_init(|| run).await
    }

    /// The last check of a replica if it applies, or a new one.
    fn check(
        &self,
        replica: &Arc<str>,
    ) -> Arc<Check> {
        let mut checks = self.checks.lock().expect("exit checks lock");
        checks.retain(|_, check| check.applies_now());
        let check = checks.entry(replica.clone());
        check.or_insert_with(|| Arc::new(Check::new())).clone()
    }
}
