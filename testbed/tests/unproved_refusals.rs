//! The statuses 408, 429 and 503 tell a caller that its request did not run and never will.
//! A replica may answer with one of them after it has run the request, and then says nothing
//! of that.

use archmast_testbed::direct::{
    Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText,
};

const PROMISES: [u16; 3] = [408, 429, 503];

/// More than a router keeps of an answer before it passes any of it on.
const LONG: usize = 300 << 10;

async fn fleet(usual: ReplicaAnswer) -> (DirectFleet, [Replica; 2]) {
    let routes = [
        RouteText::new("/read/", "s", "idempotent"),
        RouteText::new("/charge/", "s", "non_idempotent"),
        RouteText::new("/events/", "s", "streaming"),
    ];
    DirectFleet::with_two_replicas(usual, &routes).await
}

fn runs(
    replicas: &[Replica],
    id: &str,
) -> usize {
    replicas
        .iter()
        .map(|replica| replica.received_count(id))
        .sum()
}

/// A request that may run once only: it may have run, and the caller must not be told
/// otherwise.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_a_replica_does_not_prove_is_no_promise_to_the_caller() {
    let (fleet, replicas) = fleet(ReplicaAnswer::ok("")).await;
    for status in PROMISES {
        for length in [5, LONG] {
            let body = "x".repeat(length);
            for replica in &replicas {
                replica.set_default_answer(ReplicaAnswer::Complete {
                    status,
                    body: body.clone(),
                });
            }
            let id = format!("id-{status}-{length}");
            let request = ClientRequest::post("/charge/", &id, "10");
            let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
            let seen = (answer.status, answer.code());
            assert_eq!(seen, (502, Some(50)), "{status}, {length} bytes");
            assert_eq!(answer.retry_after(), None, "{status}, {length} bytes");
            assert_eq!(runs(&replicas, &id), 1);
        }
    }
}

/// What may run more than once is tried elsewhere, and refused with no promise when every
/// attempt may have run.
#[tokio::test(flavor = "multi_thread")]
async fn what_may_be_repeated_is_asked_again_after_a_refusal_that_proves_nothing() {
    for path in ["/read/", "/events/"] {
        let usual = match path {
            "/events/" => ReplicaAnswer::events(3),
            _ => ReplicaAnswer::ok("good"),
        };
        let (fleet, replicas) = fleet(usual.clone()).await;
        for status in PROMISES {
            let unproved = ReplicaAnswer::Complete {
                status,
                body: "busy".to_owned(),
            };
            for replica in &replicas {
                replica.set_default_answer(usual.clone());
            }
            replicas[0].set_default_answer(unproved.clone());
            for number in 0..4 {
                let id = format!("one-{status}-{number}");
                let answer =
                    Client::call_once(fleet.caller_addresses[0], &ClientRequest::get(path, &id))
                        .await;
                assert_eq!(answer.status, 200, "{path} {status}: {answer:?}");
            }
            replicas[1].set_default_answer(unproved);
            let id = format!("both-{status}");
            let answer =
                Client::call_once(fleet.caller_addresses[0], &ClientRequest::get(path, &id)).await;
            assert_eq!(answer.status, 502, "{path} {status}: {answer:?}");
            assert_eq!(answer.code(), Some(50), "{path} {status}");
        }
    }
}
