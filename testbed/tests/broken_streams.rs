//! A stream that ends inside an event has been broken off, whatever its framing says. Its caller
//! gets the rest from another replica or sees that the answer is cut.

use {
    archmast_testbed::{
        direct::{
            Client, ClientAnswer, ClientRequest, DirectFleet, Framing, Replica, ReplicaAnswer,
            RouteText, event, forwarding_fleet,
        },
        fleet::wait_until,
    },
    std::{net::SocketAddr, ops::RangeInclusive},
};

/// Number of the last event of a whole stream.
const LAST: u32 = 9;

/// More than a router buffers of an answer before it relays the beginning.
const LONG_BODY_BYTES: usize = 400 << 10;

/// How many streams are sent at once.
const MANY: usize = 20;

async fn two_replicas(answer: ReplicaAnswer) -> (DirectFleet, [Replica; 2]) {
    let once = RouteText {
        resumable: false,
        ..RouteText::new("/digest/", "s", "streaming")
    };
    let chat = RouteText::new("/chat/", "s", "streaming");
    let plain = RouteText::new("/plain/", "s", "idempotent");
    DirectFleet::with_two_replicas(answer, &[chat, once, plain]).await
}

fn events(numbers: RangeInclusive<u32>) -> String {
    numbers.map(event).collect()
}

/// Streams that break off in the event after number `after`: within its id, after its id, within
/// its data, and before the blank line that ends it.
fn broken_streams(after: u32) -> impl Iterator<Item = ReplicaAnswer> {
    let length = event(after + 1).len();
    let parts = [2, "id: 1\n".len(), length - 4, length - 1];
    Framing::ALL.into_iter().flat_map(move |framing| {
        parts.map(|part| ReplicaAnswer::EventsBroken {
            framing,
            after,
            part,
            last: LAST,
        })
    })
}

async fn call(
    router: SocketAddr,
    path: &str,
    id: &str,
) -> ClientAnswer {
    let request = ClientRequest::post(path, id, "prompt");
    Client::call_once(router, &request).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_runs_once_and_ends_inside_an_event_is_cut_visibly() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::events(LAST)).await;
    for (index, answer) in broken_streams(4).enumerate() {
        for replica in &replicas {
            replica.set_default_answer(answer.clone());
        }
        let id = format!("id-{index}");
        let got = call(fleet.caller_addresses[0], "/digest/", &id).await;
        assert_eq!(got.status, 200, "{answer:?}");
        assert!(!got.is_complete, "{answer:?}: {got:?}");
        assert_eq!(got.text(), events(1..=4), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_inside_its_first_event_is_an_error_answer() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::events(LAST)).await;
    for (index, answer) in broken_streams(0).enumerate() {
        for replica in &replicas {
            replica.set_default_answer(answer.clone());
        }
        let id = format!("id-{index}");
        let got = call(fleet.caller_addresses[0], "/digest/", &id).await;
        assert_eq!((got.status, got.code()), (502, Some(51)), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_that_ends_inside_an_event_goes_on_at_another_replica() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::events(LAST)).await;
    for (index, answer) in broken_streams(4).enumerate() {
        for replica in &replicas {
            replica.set_default_answer(answer.clone());
        }
        let id = format!("id-{index}");
        let got = call(fleet.caller_addresses[0], "/chat/", &id).await;
        assert!(got.status == 200 && got.is_complete, "{answer:?}: {got:?}");
        assert_eq!(got.text(), events(1..=LAST), "{answer:?}");
        let resumed = replicas.iter().flat_map(Replica::received);
        let resumed = resumed.filter(|r| r.attempt_id() == id && r.header("last-event-id") == "4");
        assert_eq!(resumed.count(), 1, "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_without_another_replica_is_cut_visibly() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::events(LAST)).await;
    replicas[1].set_backoff(Some(60.0));
    for (index, answer) in broken_streams(4).enumerate() {
        replicas[0].set_default_answer(answer.clone());
        let id = format!("id-{index}");
        let got = call(fleet.caller_addresses[0], "/chat/", &id).await;
        assert!(got.status == 200 && !got.is_complete, "{answer:?}: {got:?}");
        assert_eq!(got.text(), events(1..=4), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_streams_are_complete_in_every_framing() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::events(LAST)).await;
    for framing in Framing::ALL {
        for replica in &replicas {
            replica.set_default_answer(ReplicaAnswer::EventsFramed {
                framing,
                last: LAST,
            });
        }
        for path in ["/digest/", "/chat/"] {
            let id = format!("id-{framing:?}-{}", path.trim_matches('/'));
            let got = call(fleet.caller_addresses[0], path, &id).await;
            assert!(got.status == 200 && got.is_complete, "{framing:?}: {got:?}");
            assert_eq!(got.text(), events(1..=LAST), "{framing:?}");
            let runs: usize = replicas.iter().map(|r| r.received_count(&id)).sum();
            assert_eq!(runs, 1, "{framing:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn many_streams_that_end_inside_an_event_are_whole_or_cut_visibly() {
    let broken = ReplicaAnswer::EventsBroken {
        framing: Framing::Close,
        after: 4,
        part: 8,
        last: LAST,
    };
    let (fleet, _replicas) = two_replicas(broken).await;
    let router = fleet.caller_addresses[0];
    let calls = (0..MANY).map(|index| async move {
        let id = format!("id-{index}");
        call(router, "/chat/", &id).await
    });
    for got in futures::future::join_all(calls).await {
        let is_whole = got.text() == events(1..=LAST);
        let is_refused = got.status != 200;
        assert!(is_refused || is_whole == got.is_complete, "{got:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_on_a_connection_that_was_handed_on_is_cut_visibly() {
    let (fleet, replica) = forwarding_fleet().await;
    let once = RouteText {
        resumable: false,
        ..RouteText::new("/digest/", "s", "streaming")
    };
    fleet.store.publish(2, &[once]);
    fleet.wait_until_served(0, "/plain/", 404).await;
    fleet.wait_until_served(1, "/plain/", 404).await;
    for (index, answer) in broken_streams(4).enumerate() {
        replica.set_default_answer(answer.clone());
        let id = format!("id-{index}");
        let got = call(fleet.caller_addresses[0], "/digest/", &id).await;
        wait_until("the neighbour sent it", || fleet.was_sent_by(1, &id)).await;
        assert!(got.status == 200 && !got.is_complete, "{answer:?}: {got:?}");
        assert_eq!(got.text(), events(1..=4), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reset_answer_larger_than_the_buffer_is_cut_visibly() {
    let body = "b".repeat(LONG_BODY_BYTES);
    let (fleet, _replicas) = two_replicas(ReplicaAnswer::Reset { body }).await;
    let got = call(fleet.caller_addresses[0], "/plain/", "id-1").await;
    assert!(got.status == 200 && !got.is_complete, "{}", got.status);
}
