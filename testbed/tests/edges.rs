//! Invalid input, unauthenticated callers, processes of another fleet and overload are refused, and
//! nothing refused runs; no input stops a process. Callers and upstreams see the same request id.

use {
    archmast_testbed::{
        fleet::{Fleet, FleetPlan, FleetText, Outcome, nonce, wait_until, wait_until_async},
        standin::{ChatBody, EngineSettings},
    },
    reqwest::{Client, Method, Response},
    serde_json::Value,
    std::{
        io::{ErrorKind, Read, Write},
        net::{TcpStream, UdpSocket},
        time::Duration,
    },
    tokio::task::JoinSet,
};

fn plan() -> FleetPlan {
    let text = FleetText::default()
        .class("chat", "20 s")
        .class("hasty", "700 ms")
        .models("drafting", "drafter")
        .plain("gates", "/gate")
        .account("lot-a", 1.0, "chat", "lot=a")
        .account("lot-b", 1.0, "chat", "")
        .account("hasty", 1.0, "hasty", "")
        .rule(
            "a-nowhere",
            &[
                ("requests", "lot = a, model = drafter"),
                ("hosts", "zone = moon"),
            ],
        );
    FleetPlan::new(text)
        .routers(1)
        .engines(1, EngineSettings::default())
        .plains(1, 2, Duration::from_millis(5))
        .set_router("callers.max_body", "64 KiB")
}

async fn error_of(response: Response) -> (u16, u64, String, Option<String>) {
    let status = response.status().as_u16();
    let retry = response.headers().get("retry-after").cloned();
    let body: Value = response.json().await.expect("a JSON error");
    let error = &body["error"];
    (
        status,
        error["code"].as_u64().expect("a code"),
        error["ran"].as_str().expect("whether it ran").to_owned(),
        retry.map(|value| value.to_str().expect("text").to_owned()),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn each_invalid_input_gets_its_own_result_code() {
    let fleet = Fleet::start(plan()).await;
    let chat = "/v1/chat/completions";
    let body = ChatBody::new("drafter", "p", &nonce(), 1, false);
    let post = |path: &str| fleet.caller(0, "lot-b").request(Method::POST, path);
    let expect = async |request: reqwest::RequestBuilder, status: u16, code: u64| {
        let (got, number, ran, _) = error_of(request.send().await.expect("an answer")).await;
        assert_eq!((got, number, ran.as_str()), (status, code, "no"));
    };
    let stranger = fleet.caller(0, "lot-b").with_key("wrong");
    expect(stranger.request(Method::POST, chat).json(&body), 401, 30).await;
    let anonymous = Client::new().get(format!("http://{}/gate/x", fleet.routers[0].callers));
    expect(anonymous, 401, 30).await;
    let unknown = ChatBody::new("nothing", "p", "n", 1, false);
    expect(post(chat).json(&unknown), 404, 31).await;
    expect(post("/nowhere"), 404, 31).await;
    expect(post("/gateway"), 404, 31).await;
    expect(post(chat).body("{"), 400, 34).await;
    expect(post(chat).body("[1]"), 400, 34).await;
    expect(post("/gate/x").body(vec![0; 65 << 10]), 413, 33).await;
    expect(post("/gate/x").header("x-archmast-labels", "a"), 400, 35).await;
    expect(
        post("/gate/x").header("idempotency-key", "k".repeat(300)),
        400,
        35,
    )
    .await;
    let bound = fleet
        .caller(0, "lot-a")
        .request(Method::POST, chat)
        .json(&body);
    let response = bound.send().await.expect("an answer");
    let text = response.text().await.expect("a body");
    assert!(
        text.contains("\"code\":32") && text.contains("a-nowhere"),
        "{text}"
    );
    assert!(fleet.runs_by_nonce().is_empty(), "nothing of all this ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn models_are_listed_for_authenticated_callers_only() {
    let fleet = Fleet::start(plan()).await;
    let list = fleet.caller(0, "lot-b").request(Method::GET, "/v1/models");
    let body: Value = list
        .send()
        .await
        .expect("an answer")
        .json()
        .await
        .expect("JSON");
    assert_eq!(body["data"][0]["id"], "drafter");
    let stranger = fleet.caller(0, "lot-b").with_key("wrong");
    let response = stranger.request(Method::GET, "/v1/models").send().await;
    assert_eq!(response.expect("an answer").status(), 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn overload_is_refused_at_once_with_when_to_come_back() {
    let fleet = Fleet::start(plan().set_router("waiting.max_per_account", "30")).await;
    let mut callers = JoinSet::new();
    for _ in 0..120 {
        let caller = fleet.caller(0, "hasty");
        callers.spawn(async move {
            let body = ChatBody::new("drafter", "p", &nonce(), 40, false);
            (caller.chat(&body).await, body.nonce().to_owned())
        });
    }
    let outcomes = callers.join_all().await;
    let counts = fleet.runs_by_nonce();
    let mut refused = 0;
    for (outcome, nonce) in &outcomes {
        match outcome {
            Outcome::Refused {
                status,
                ran,
                retry_after,
                ..
            } => {
                refused += 1;
                assert!(matches!(status, 429 | 503), "{outcome:?}");
                assert_eq!(ran, "no");
                assert!(retry_after.is_some(), "{outcome:?}");
                assert_eq!(counts.get(nonce), None);
            }
            whole => assert!(whole.is_complete(), "{whole:?}"),
        }
    }
    assert!(refused >= 60, "only {refused} refused");
    assert!(outcomes.iter().any(|(outcome, _)| outcome.is_complete()));
}

#[tokio::test(flavor = "multi_thread")]
async fn no_bytes_on_any_port_stop_a_process() {
    let fleet = Fleet::start(plan()).await;
    let garbage: Vec<u8> = (0..2_000u32).map(|n| (n * 7919 % 251) as u8).collect();
    let udp = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for entry in &fleet.hosts.hosts {
        for length in [1, 20, 1_200] {
            udp.send_to(&garbage[..length], entry.link).expect("sent");
        }
    }
    let router = &fleet.routers[0];
    for address in [router.callers, router.operator, fleet.sidecars[0].operator] {
        let mut stream = TcpStream::connect(address).expect("connected");
        stream.write_all(&garbage).expect("sent");
        if let Err(error) = stream.shutdown(std::net::Shutdown::Write) {
            // The process refused the bytes and closed the connection first.
            assert_eq!(error.kind(), ErrorKind::NotConnected, "{error}");
        }
        let mut answer = Vec::new();
        let _read = stream.read_to_end(&mut answer);
    }
    let outcome = fleet
        .caller(0, "lot-b")
        .plain(Method::POST, "/gate/open", &nonce(), None)
        .await;
    assert!(outcome.is_complete(), "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_of_another_authority_is_not_let_in() {
    let fleet = Fleet::start(plan()).await;
    let mut stranger = Fleet::start_unready(plan()).await;
    // The stranger's router is pointed at this fleet's sidecars. Its own, which it may know
    // already, are killed.
    for sidecar in &mut stranger.sidecars {
        sidecar.process.kill();
    }
    stranger.hosts = fleet.hosts.clone();
    stranger.platform.publish_hosts(&stranger.hosts);
    let router = stranger.routers[0].operator;
    wait_until_async("the stranger serves", async || {
        stranger.is_ready(router).await
    })
    .await;
    let body = ChatBody::new("drafter", "p", &nonce(), 1, false);
    let outcome = stranger.caller(0, "hasty").chat(&body).await;
    assert_eq!(
        outcome.code(),
        Some(38),
        "no sidecar of the other fleet accepts it: {outcome:?}"
    );
    assert!(fleet.runs_by_nonce().is_empty());
    let status = fleet
        .status(fleet.sidecars[0].operator)
        .await
        .expect("a status");
    assert_eq!(status.peers.len(), 1, "only its own router");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_has_the_same_id_at_caller_and_upstream() {
    let fleet = Fleet::start(plan()).await;
    let nonce = nonce();
    let request = fleet
        .caller(0, "lot-b")
        .request(Method::POST, "/gate/open")
        .header("x-nonce", &nonce)
        .header("x-request-id", "chosen-by-the-caller");
    let response = request.send().await.expect("an answer");
    let name = response.headers()["x-request-id"]
        .to_str()
        .expect("text")
        .to_owned();
    assert_ne!(name, "chosen-by-the-caller");
    let runs = fleet.sidecars[1].upstream.log().runs();
    assert!(runs.iter().any(|run| run.request_id == name));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_slot_is_filled_at_once_and_work_reaches_every_upstream() {
    let fleet = Fleet::start(plan()).await;
    let mut callers = JoinSet::new();
    for _ in 0..8 {
        let caller = fleet.caller(0, "lot-b");
        callers.spawn(async move {
            let body = ChatBody::new("drafter", "p", &nonce(), 60, true);
            caller.chat(&body).await
        });
    }
    wait_until("all slots are taken", || fleet.running_count() == 8).await;
    let outcomes = callers.join_all().await;
    assert!(outcomes.iter().all(Outcome::is_complete));
}
