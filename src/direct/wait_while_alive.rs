use {
    super::{gateway::Gateway, timeout_unless_ready::timeout_unless_ready},
    std::time::Duration,
};

/// A replica from which anything arrived within this time counts as alive, if slow.
const ALIVE_WINDOW: Duration = Duration::from_millis(400);

/// Maximum wait for the first answer of a replica that is alive, where the call could be sent
/// to another.
const MAX_FIRST_ANSWER_WAIT: Duration = Duration::from_millis(2000);

/// How often it is checked whether a late replica is still alive.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Waits for `awaited`, which a replica produces, up to `limit`; longer while the replica
/// answers other requests, as the call would have to queue again elsewhere. `None` on
/// time-out.
pub async fn wait_while_alive<T>(
    gateway: &Gateway,
    replica: &str,
    limit: Duration,
    time_left: Duration,
    awaited: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(awaited);
    let longest = MAX_FIRST_ANSWER_WAIT.min(time_left).max(limit);
    let mut waited = limit;
    let mut outcome = timeout_unless_ready(limit, &mut awaited).await;
    while outcome.is_none() && waited < longest {
        if !gateway
            .replica_table()
            .is_alive(gateway.now(), replica, ALIVE_WINDOW)
        {
            return None;
        }
        outcome = timeout_unless_ready(LIVENESS_CHECK_INTERVAL, &mut awaited).await;
        waited += LIVENESS_CHECK_INTERVAL;
    }
    outcome
}
