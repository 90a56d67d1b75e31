use {super::gateway::Gateway, std::time::Duration, tokio::time::timeout};

/// A replica that answered something within this is alive, and slow at most.
const ALIVE: Duration = Duration::from_millis(400);

/// The longest that a first answer of a replica that is alive is waited for,
/// where the call could go elsewhere.
const LONGEST_FIRST: Duration = Duration::from_millis(2000);

/// How often a late replica is looked at.
const LATE_LOOK: Duration = Duration::from_millis(100);

/// Waits for something of a replica: up to `limit`, and longer while the replica
/// answers others, since what waits there would wait anew elsewhere. None if it
/// did not come.
pub async fn wait_while_alive<T>(
    gateway: &Gateway,
    replica: &str,
    limit: Duration,
    left: Duration,
    coming: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(coming);
    let longest = LONGEST_FIRST.min(left).max(limit);
    let mut waited = limit;
    let mut outcome = timeout(limit, &mut coming).await;
    while outcome.is_err() && waited < longest {
        if !gateway.board().is_alive(gateway.now(), replica, ALIVE) {
            return None;
        }
        outcome = timeout(LATE_LOOK, &mut coming).await;
        waited += LATE_LOOK;
    }
    outcome.ok()
}
