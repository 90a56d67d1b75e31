//! Requests that are whole, and unusual in some other way, get an answer that their caller can
//! read, and so does the next request on the same connection.

use archmast_testbed::direct::{
    Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText,
};

async fn fleet() -> (DirectFleet, [Replica; 2]) {
    let read = RouteText::new("/read/", "s", "idempotent");
    DirectFleet::with_two_replicas(ReplicaAnswer::ok("whole"), &[read]).await
}

/// Guards against a connection that closes without an answer, as the task that serves it panicked.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_deadline_is_no_number_is_answered() {
    let (fleet, _replicas) = fleet().await;
    for deadline in ["nan", "NaN", "inf", "-inf", "-1", "1e400", "", "4 s"] {
        let request = ClientRequest::post("/read/", deadline, "{}");
        let request = request.header("Archmast-Deadline-Ms", deadline);
        let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
        assert!(answer.status != 0 && answer.is_complete, "{deadline}");
    }
}
