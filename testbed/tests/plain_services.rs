//! Replicas of plain services are chosen by the estimated wait and service time. Guards against
//! measuring the service time from the head of the answer, when the work is done already: a
//! slow replica would seem as quick as any.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, ReplicaAnswer, RouteText},
        fleet::wait_until_async,
    },
    std::time::Duration,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_replica_is_learnt_and_the_quick_one_gets_the_requests() {
    let route = RouteText::new("/first/", "s", "idempotent");
    let (fleet, [slow, quick]) =
        DirectFleet::with_two_replicas(ReplicaAnswer::ok("quick"), &[route]).await;
    slow.set_default_answer(ReplicaAnswer::Slow {
        body: "slow".to_owned(),
        after: Duration::from_millis(100),
    });
    let ask = async || {
        let request = ClientRequest::get("/first/", "probe");
        Client::call_once(fleet.caller_addresses[0], &request)
            .await
            .text()
    };
    wait_until_async("the quick one is asked", async || ask().await == "quick").await;
    let before = slow.received().len();
    for _ in 0..40 {
        assert_eq!(ask().await, "quick");
    }
    assert_eq!(slow.received().len(), before);
    drop(quick);
}
