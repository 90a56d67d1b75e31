//! Connections that fall silent for good, without a reset, while new ones work: what
//! replaces one is a new connection, and not another from before the silence.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText},
        fleet::until,
        proxy::TcpProxy,
    },
    futures::future::join_all,
    std::time::Duration,
};

/// Connections that rest at the router when they fall silent.
const RESTING: usize = 4;

/// A router before one replica, which it reaches through a proxy.
async fn fleet_behind_proxy() -> (DirectFleet, Replica, TcpProxy) {
    let fleet = DirectFleet::start(1, "").await;
    let slow = ReplicaAnswer::Slow {
        body: "answer".to_owned(),
        after: Duration::from_millis(200),
    };
    let replica = Replica::start(fleet.standins(), "i-a", slow).await;
    let proxy = TcpProxy::start(fleet.standins(), replica.address)
        .await
        .expect("a free port");
    fleet.store.list("i-a", "s", proxy.address, "ready");
    let hasty = RouteText {
        timeout_ms: 600,
        ..RouteText::new("/hasty/", "s", "non_idempotent")
    };
    let charge = RouteText::new("/charge/", "s", "non_idempotent");
    fleet.store.publish(1, &[hasty, charge]);
    fleet.all_ready().await;
    until("the replica is known", || {
        fleet.routers[0].log_text().contains("upstream Ready")
    })
    .await;
    (fleet, replica, proxy)
}

async fn ask(
    fleet: &DirectFleet,
    path: &str,
    id: &str,
) -> u16 {
    let request = ClientRequest::post(path, id, "{}");
    Client::ask(fleet.callers[0], &request).await.status
}

/// A charge got no answer on a silent connection; the next one was sent on another
/// that had rested beside it, and got none either.
#[tokio::test(flavor = "multi_thread")]
async fn after_one_silent_connection_to_a_replica_the_others_are_not_used() {
    let (fleet, _replica, proxy) = fleet_behind_proxy().await;
    let asked = (0..RESTING).map(async |n| ask(&fleet, "/charge/", &format!("first-{n}")).await);
    let statuses = join_all(asked).await;
    assert_eq!(statuses, [200; RESTING]);
    proxy.silence_connections();
    assert_ne!(ask(&fleet, "/hasty/", "silent").await, 200);
    assert_eq!(ask(&fleet, "/charge/", "after").await, 200);
}
