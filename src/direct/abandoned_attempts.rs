//! Attempts that this router abandoned before the replica answered: the caller disconnected,
//! the time ran out, or the answer was not proven. Their replicas are checked a little
//! later, so that a crash under such an attempt counts against its request like any other.

use {
    super::{exchange_suspects::InterruptedAttempt, gateway::Gateway},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::runtime::Handle,
};

/// Delay from the first abandoned attempt at a replica to the check of that replica. By then
/// a replica that crashes under the request has exited.
const CHECK_DELAY: Duration = Duration::from_millis(300);

/// Attempts remembered for one check; further ones are ignored.
const MAX_ATTEMPTS_PER_CHECK: usize = 64;

/// Abandoned attempts by replica id, until the replica is checked.
#[derive(Default)]
pub struct AbandonedAttempts {
    attempts: Mutex<HashMap<Arc<str>, Vec<InterruptedAttempt>>>, // a leaf lock
}

impl AbandonedAttempts {
    /// Adds an attempt. Returns true if it is the replica's first, for which the check must
    /// be scheduled.
    fn add(
        &self,
        attempt: InterruptedAttempt,
    ) -> bool {
        let mut attempts = self.attempts.lock().expect("abandoned attempts lock");
        let of_replica = attempts.entry(attempt.entry.id.clone()).or_default();
        let is_first = of_replica.is_empty();
        if of_replica.len() < MAX_ATTEMPTS_PER_CHECK {
            of_replica.push(attempt);
        }
        is_first
    }

    fn take(
        &self,
        replica: &str,
    ) -> Vec<InterruptedAttempt> {
        let mut attempts = self.attempts.lock().expect("abandoned attempts lock");
        attempts.remove(replica).unwrap_or_default()
    }
}

impl Gateway {
    /// Records an attempt that was abandoned before its replica answered, and checks the
    /// replica after `CHECK_DELAY`.
    pub(super) fn record_abandoned(
        self: &Arc<Self>,
        attempt: InterruptedAttempt,
    ) {
        // There is no runtime when the last requests are dropped at process exit.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let replica = attempt.entry.clone();
        if !self.abandoned_attempts.add(attempt) {
            return;
        }
        let gateway = self.clone();
        runtime.spawn(async move {
            tokio::time::sleep(CHECK_DELAY).await;
            // An idle connection that is still open proves as much as a new one.
            let is_alive = gateway.pool.has_idle(&replica.id);
            let has_exited = !is_alive && gateway.pool.is_connection_refused(&replica).await;
            let attempts = gateway.abandoned_attempts.take(&replica.id);
            if !has_exited {
                return;
            }
            log::info!(
                replica = &*replica.id, runs = attempts.len();
                "a replica has ended whose runs were left"
            );
            for attempt in &attempts {
                gateway.record_interrupted(attempt);
            }
        });
    }
}
