//! A stream with neither length nor chunks that ends between two events is whole only if its
//! replica is alive. A check of the replica that began before the end shows nothing.

use {
    archmast_testbed::{
        direct::{Client, ClientRequest, DirectFleet, Framing, ReplicaAnswer, RouteText},
        fleet::wait_until_async,
    },
    std::time::Duration,
};

/// Tries, as the replica has to crash within some 50 ms of the end of a whole answer.
const TRIES: usize = 5;

/// Pause before each event of the stream that is broken off.
const LONG_PAUSE: Duration = Duration::from_millis(700);

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_a_crash_breaks_off_just_after_a_whole_one_is_not_complete() {
    let fleet = DirectFleet::start(1, "").await;
    let chat = RouteText {
        attempts: 1,
        resumable: false,
        ..RouteText::new("/chat/", "s", "streaming")
    };
    fleet.store.publish(1, &[chat]);
    fleet.wait_until_ready().await;
    for number in 0..TRIES {
        let id = format!("i-{number}");
        let whole = ReplicaAnswer::EventsFramed {
            framing: Framing::Close,
            last: 2,
        };
        let replica = fleet.start_replica(&id, "s", whole).await;
        wait_until_async("the replica is known", async || {
            fleet.routers[0].log_text().contains(&id)
        })
        .await;
        replica.push_answer(ReplicaAnswer::EventsPaced {
            framing: Framing::Close,
            last: 3,
            pause: LONG_PAUSE,
        });
        let mut broken = Client::connect(fleet.caller_addresses[0])
            .await
            .expect("connects");
        let request = ClientRequest::get("/chat/", &format!("broken-{number}"));
        broken.send(&request.bytes()).await.expect("sent");
        assert!(broken.wait_for("piece 1").await);
        let request = ClientRequest::get("/chat/", &format!("whole-{number}"));
        let answer = Client::call_once(fleet.caller_addresses[0], &request).await;
        assert!(answer.is_whole_success(), "{answer:?}");
        replica.crash();
        let answer = broken.answer().await;
        assert!(!answer.is_complete, "{}", answer.text());
        fleet.store.remove_replica(&id);
        wait_until_async("the replica is gone", async || {
            fleet.routers[0].log_text().matches("upstream gone").count() > number
        })
        .await;
    }
}
