//! The statuses 408, 429 and 503 tell a caller that its request did not run and never will. A
//! replica may answer with one of them after it ran the request, so a router must not relay the
//! status unless the replica states that the request did not run.

use archmast_testbed::direct::{
    Client, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText,
};

const NOT_RUN_STATUSES: [u16; 3] = [408, 429, 503];

/// Body length above what a router buffers of an answer before it relays any of it.
const LONG_BODY_BYTES: usize = 300 << 10;

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

/// A request that must run at most once may have run, and its answer must not claim otherwise.
#[tokio::test(flavor = "multi_thread")]
async fn an_unproved_refusal_is_not_relayed_as_not_run() {
    let (fleet, replicas) = fleet(ReplicaAnswer::ok("")).await;
    for status in NOT_RUN_STATUSES {
        for length in [5, LONG_BODY_BYTES] {
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

/// An idempotent request is retried at another replica. When every attempt may have run, its
/// answer does not claim otherwise.
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_retried_after_an_unproved_refusal() {
    for path in ["/read/", "/events/"] {
        let usual = match path {
            "/events/" => ReplicaAnswer::events(3),
            _ => ReplicaAnswer::ok("good"),
        };
        let (fleet, replicas) = fleet(usual.clone()).await;
        for status in NOT_RUN_STATUSES {
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
