//! Runs that this router ended itself, before their replicas did: what a caller left, what
//! ran out of time, what brought no proof. Their replica is looked at a little later, so that
//! one that ends under such a run speaks against its request as any other.

use {
    super::{exchange_suspects::EndedRun, gateway::Gateway},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::runtime::Handle,
};

/// How long after the first run that was left its replica is looked at: by
/// then a replica that ends under it has ended.
const LOOK_AFTER: Duration = Duration::from_millis(300);

/// Runs that are kept for one look.
const MOST: usize = 64;

/// Runs that were left, by replica, until that is looked at.
#[derive(Default)]
pub struct LeftRuns {
    runs: Mutex<HashMap<Arc<str>, Vec<EndedRun>>>, // a leaf lock
}

impl LeftRuns {
    /// Keeps a run. Whether its replica has to be looked at, since no look is to come.
    fn keep(
        &self,
        run: EndedRun,
    ) -> bool {
        let mut runs = self.runs.lock().expect("left runs lock");
        let kept = runs.entry(run.entry.id.clone()).or_default();
        let is_first = kept.is_empty();
        if kept.len() < MOST {
            kept.push(run);
        }
        is_first
    }

    fn take(
        &self,
        replica: &str,
    ) -> Vec<EndedRun> {
        let mut runs = self.runs.lock().expect("left runs lock");
        runs.remove(replica).unwrap_or_default()
    }
}

impl Gateway {
    /// A run was left before its replica answered whole.
    pub(super) fn note_left(
        self: &Arc<Self>,
        run: EndedRun,
    ) {
        // None at the end of the process, when the last requests are dropped.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let replica = run.entry.clone();
        if !self.left_runs.keep(run) {
            return;
        }
        let gateway = self.clone();
        runtime.spawn(async move {
            tokio::time::sleep(LOOK_AFTER).await;
            // A connection at rest that is still open shows as much as a new one.
            let lives = gateway.pool.has_open(&replica.id);
            let ended = !lives && gateway.pool.is_refused(&replica).await;
            let runs = gateway.left_runs.take(&replica.id);
            if !ended {
                return;
            }
            log::info!(
                replica = &*replica.id, runs = runs.len();
                "a replica has ended whose runs were left"
            );
            for run in &runs {
                gateway.note_run_end(run);
            }
        });
    }
}
