use {
    super::{DirectFleet, Replica, ReplicaAnswer, RouteText},
    crate::fleet::wait_until,
};

/// Two routers that forward all connections of their callers to each other, and a replica.
pub async fn forwarding_fleet() -> (DirectFleet, Replica) {
    forwarding_fleet_with("").await
}

/// The same, with `settings` added behind the section `[callers]` of both routers.
pub async fn forwarding_fleet_with(settings: &str) -> (DirectFleet, Replica) {
    let fleet = DirectFleet::start(2, &format!("hand_on = 0.0\n{settings}")).await;
    let replica = fleet
        .start_replica("i-a", "s", ReplicaAnswer::ok("answer"))
        .await;
    let plain = RouteText::new("/plain/", "s", "non_idempotent");
    let chat = RouteText::new("/chat/", "s", "streaming");
    fleet.store.publish(1, &[plain, chat]);
    fleet.wait_until_ready().await;
    for router in [0, 1] {
        wait_until("the router knows its neighbour and the replica", || {
            let log = fleet.routers[router].log_text();
            log.contains("connections are handed on") && log.contains("upstream Ready")
        })
        .await;
    }
    (fleet, replica)
}
