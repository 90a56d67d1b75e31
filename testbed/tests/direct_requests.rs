//! Single requests through a router that sends them to replicas itself, without sidecars (the
//! direct form): where they go, what the replica and the client receive, and how often they run.

use {
    archmast_testbed::{
        direct::{
            Client, ClientAnswer, ClientRequest, DirectFleet, Replica, ReplicaAnswer, RouteText,
        },
        fleet::{program_path, wait_until},
    },
    std::time::Duration,
};

/// A router with two replicas of one service, and routes of every kind.
async fn two_replicas(usual: ReplicaAnswer) -> (DirectFleet, [Replica; 2]) {
    let single = RouteText {
        attempts: 1,
        ..RouteText::new("/one/", "s", "idempotent")
    };
    let hasty = RouteText {
        attempts: 1,
        timeout_ms: 400,
        ..RouteText::new("/hasty/", "s", "non_idempotent")
    };
    let public = RouteText {
        public: true,
        ..RouteText::new("/open/", "s", "idempotent")
    };
    let once_stream = RouteText {
        resumable: false,
        ..RouteText::new("/digest/", "s", "streaming")
    };
    DirectFleet::with_two_replicas(
        usual,
        &[
            RouteText::new("/read/", "s", "idempotent"),
            RouteText::new("/charge/", "s", "non_idempotent"),
            RouteText::new("/events/", "s", "streaming"),
            RouteText::new("/empty/", "nobody", "idempotent"),
            single,
            hasty,
            public,
            once_stream,
        ],
    )
    .await
}

async fn ask(
    fleet: &DirectFleet,
    request: ClientRequest,
) -> ClientAnswer {
    Client::call_once(fleet.caller_addresses[0], &request).await
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

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_receives_the_request_and_the_client_its_answer() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::ok("hello")).await;
    let request = ClientRequest::post("/read/x%20y?q=1&r=", "id-1", "the body")
        .header("Archmast-Deadline-Ms", "3000")
        .header("X-Own", "kept")
        .header("X-Hop", "dropped")
        .header("Connection", "X-Hop")
        .header("Archmast-Tenant", "forged")
        .header("Archmast-Expected-Replica", "forged")
        .header("Kv-From", "10.0.0.1:1/h");
    let answer = ask(&fleet, request).await;
    assert_eq!((answer.status, answer.text().as_str()), (200, "hello"));
    assert_eq!(answer.header("archmast-replica-signature"), "s.1");
    assert_eq!(answer.header("archmast-attempt-id"), "id-1");
    let seen: Vec<_> = replicas.iter().flat_map(Replica::received).collect();
    let [seen] = seen.as_slice() else {
        panic!("seen {} times", seen.len());
    };
    assert_eq!(seen.method, "POST");
    assert_eq!(seen.target, "/read/x%20y?q=1&r=");
    assert_eq!(seen.body, b"the body");
    assert_eq!(seen.header("host"), "app.example");
    assert_eq!(seen.header("archmast-tenant"), "lot");
    assert_eq!(seen.header("x-own"), "kept");
    assert!(seen.header("archmast-expected-replica").starts_with("i-"));
    let left: u64 = seen.header("archmast-deadline-ms").parse().expect("a time");
    assert!((1..=3000).contains(&left));
    for dropped in ["x-hop", "connection", "archmast-credential", "kv-from"] {
        assert_eq!(seen.header(dropped), "", "{dropped}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn each_refused_request_gets_its_own_result_code() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::ok("hello")).await;
    let expect = async |request: ClientRequest, status: u16, code: u64| {
        let answer = ask(&fleet, request).await;
        assert_eq!((answer.status, answer.code()), (status, Some(code)));
    };
    let get = |path: &str| ClientRequest::get(path, "id-1");
    expect(get("/nowhere/"), 404, 62).await;
    expect(get("/read/").header("Host", "other.example"), 404, 62).await;
    expect(
        get("/read/").header("Archmast-Credential", "wrong"),
        401,
        30,
    )
    .await;
    expect(get("/read/").header("X-Long", &"x".repeat(9000)), 431, 63).await;
    let long = "x".repeat(70_000);
    expect(ClientRequest::post("/read/", "id-1", &long), 413, 33).await;
    expect(get("/empty/"), 503, 65).await;
    assert_eq!(runs(&replicas, "id-1"), 0);
    let open = get("/open/").header("Archmast-Credential", "wrong");
    assert_eq!(ask(&fleet, open).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_smuggled_inside_another() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::ok("hello")).await;
    let head = "POST /read/ HTTP/1.1\r\nHost: app.example\r\nArchmast-Attempt-Id: id-1\r\nArchmast-Credential: key-1\r\n";
    let inner = "GET /read/ HTTP/1.1\r\nHost: app.example\r\nArchmast-Attempt-Id: inner\r\nArchmast-Credential: key-1\r\n\r\n";
    let lengths = format!(
        "Content-Length: 5\r\nContent-Length: {}\r\n\r\n",
        inner.len()
    );
    let cases = [
        format!("{head}{lengths}{inner}"),
        format!("{head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{inner}"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\n5;\r\nxx{inner}"),
        format!("{head}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n{inner}"),
        format!("{head}X-Folded: a\r\n b\r\nContent-Length: 0\r\n\r\n{inner}"),
    ];
    for (number, case) in cases.iter().enumerate() {
        let mut client = Client::connect(fleet.caller_addresses[0])
            .await
            .expect("a connection");
        client.send(case.as_bytes()).await.expect("sent");
        let answer = client.answer().await;
        assert!(
            answer.status != 200 || number == 1,
            "case {number}: {answer:?}"
        );
        if number == 1 {
            // Chunked encoding overrides the length. What follows must not run because of
            // the length, and the connection must be closed.
            assert!(client.is_closed_by_router().await, "case {number}");
        }
        assert_eq!(runs(&replicas, "inner"), 0, "case {number}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_runs_once_is_not_repeated_after_an_unknown_outcome() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::ok("hello")).await;
    let failures = [
        ReplicaAnswer::Close,
        ReplicaAnswer::Truncated,
        ReplicaAnswer::WrongId,
        ReplicaAnswer::Unsigned,
        ReplicaAnswer::Garbage,
    ];
    for (number, failure_mode) in failures.into_iter().enumerate() {
        replicas
            .iter()
            .for_each(|replica| replica.set_default_answer(failure_mode.clone()));
        let id = format!("charge-{number}");
        let answer = ask(&fleet, ClientRequest::post("/charge/", &id, "10")).await;
        assert_eq!(answer.status, 502, "{failure_mode:?}");
        assert_eq!(
            answer.header("archmast-replica-signature"),
            "",
            "{failure_mode:?}"
        );
        assert_eq!(runs(&replicas, &id), 1, "{failure_mode:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_be_repeated_goes_to_another_replica() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::ok("hello")).await;
    let failures = [
        ReplicaAnswer::Close,
        ReplicaAnswer::Truncated,
        ReplicaAnswer::Garbage,
        ReplicaAnswer::NotExecuted { status: 503 },
        ReplicaAnswer::Complete {
            status: 500,
            body: "sorry".to_owned(),
        },
    ];
    for (number, failure_mode) in failures.into_iter().enumerate() {
        let id = format!("read-{number}");
        // The replica that is chosen next fails; the other answers.
        replicas
            .iter()
            .for_each(|replica| replica.set_default_answer(ReplicaAnswer::ok("hello")));
        let chosen = chosen_next(&fleet, &replicas).await;
        replicas[chosen].push_answer(failure_mode.clone());
        let answer = ask(&fleet, ClientRequest::get("/read/", &id)).await;
        assert!(
            answer.status == 200 && answer.is_complete,
            "{failure_mode:?}: {answer:?}"
        );
        assert!((1..=2).contains(&runs(&replicas, &id)), "{failure_mode:?}");
    }
}

/// Index of the replica that received a probe; the next request goes there as well.
async fn chosen_next(
    fleet: &DirectFleet,
    replicas: &[Replica],
) -> usize {
    let id = format!("probe-{:x}", rand::random::<u64>());
    ask(fleet, ClientRequest::get("/one/", &id)).await;
    let got = |replica: &Replica| {
        replica
            .received()
            .iter()
            .any(|request| request.attempt_id() == id)
    };
    replicas.iter().position(got).unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_route_of_one_attempt_is_refused_when_the_replica_is_full() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::NotExecuted { status: 503 }).await;
    let answer = ask(&fleet, ClientRequest::get("/one/", "id-1")).await;
    assert_eq!((answer.status, answer.code()), (503, Some(68)));
    assert!(
        answer
            .retry_after()
            .is_some_and(|wait| wait < Duration::from_secs(2))
    );
    assert_eq!(runs(&replicas, "id-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn never_more_replicas_than_the_route_allows() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::Close).await;
    let answer = ask(&fleet, ClientRequest::get("/read/", "id-1")).await;
    assert_eq!(answer.status, 502);
    assert_eq!(runs(&replicas, "id-1"), 2);
    let answer = ask(&fleet, ClientRequest::get("/one/", "id-2")).await;
    assert_eq!(answer.status, 502);
    assert_eq!(runs(&replicas, "id-2"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_replica_ends_at_the_routes_time() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::Silent).await;
    let answer = ask(&fleet, ClientRequest::post("/hasty/", "id-1", "x")).await;
    assert_eq!((answer.status, answer.code()), (504, Some(58)));
    assert_eq!(runs(&replicas, "id-1"), 1);
    let open = || {
        replicas
            .iter()
            .map(Replica::open_connections)
            .sum::<usize>()
    };
    wait_until("the connection to the replica is closed", || open() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_error_answer_of_a_replica_is_relayed_unchanged() {
    let failure = ReplicaAnswer::Complete {
        status: 500,
        body: "sorry".to_owned(),
    };
    let (fleet, replicas) = two_replicas(failure).await;
    let answer = ask(&fleet, ClientRequest::post("/charge/", "id-1", "10")).await;
    assert_eq!((answer.status, answer.text().as_str()), (500, "sorry"));
    assert_eq!(answer.header("archmast-replica-signature"), "s.1");
    assert_eq!(runs(&replicas, "id-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_surplus_answer_reaches_nobody() {
    let surplus = ReplicaAnswer::ExtraAnswer {
        body: "mine".to_owned(),
    };
    let (fleet, replicas) = two_replicas(surplus).await;
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("a connection");
    for number in 0..20 {
        let id = format!("id-{number}");
        let answer = client.call(&ClientRequest::get("/read/", &id)).await;
        if answer.status == 200 {
            assert_eq!(answer.text(), "mine");
            assert_eq!(answer.header("archmast-attempt-id"), id);
        } else {
            assert_eq!(answer.status, 502);
        }
    }
    assert!(
        replicas
            .iter()
            .map(Replica::total_connections)
            .sum::<usize>()
            >= 2
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_replicas_are_reused() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::ok("hello")).await;
    for number in 0..20 {
        let request = ClientRequest::get("/read/", &format!("id-{number}"));
        assert_eq!(ask(&fleet, request).await.status, 200);
    }
    let opened: usize = replicas.iter().map(Replica::total_connections).sum();
    assert!(opened <= 3, "{opened} connections for 20 requests");
}

#[tokio::test(flavor = "multi_thread")]
async fn another_replica_at_the_same_address_is_never_taken_for_the_old_one() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::ok("hello")).await;
    replicas[0].set_id("i-new");
    replicas[1].set_id("i-other");
    let answer = ask(&fleet, ClientRequest::post("/charge/", "id-1", "10")).await;
    assert_eq!(answer.status, 503);
    assert_eq!(runs(&replicas, "id-1"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_that_leaves_stops_the_work() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::Silent).await;
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("a connection");
    let request = ClientRequest::post("/charge/", "id-1", "10");
    client.send(&request.bytes()).await.expect("sent");
    wait_until("the request is at a replica", || {
        runs(&replicas, "id-1") == 1
    })
    .await;
    drop(client);
    let open = || {
        replicas
            .iter()
            .map(Replica::open_connections)
            .sum::<usize>()
    };
    wait_until("the connection to the replica is closed", || open() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_arrive_whole() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::ok("hello")).await;
    let mut client = Client::connect(fleet.caller_addresses[0])
        .await
        .expect("a connection");
    let request = ClientRequest::get("/read/", "id-1").header("Transfer-Encoding", "chunked");
    client.send(&request.bytes()).await.expect("sent");
    client.send(b"3\r\nabc\r\n").await.expect("sent");
    client.send(b"4\r\ndefg\r\n0\r\n\r\n").await.expect("sent");
    assert_eq!(client.answer().await.status, 200);
    let seen = replicas.iter().flat_map(Replica::received).next();
    assert_eq!(seen.expect("it ran").body, b"abcdefg");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_request_is_traced_by_its_id_to_its_cause() {
    let (fleet, replicas) = two_replicas(ReplicaAnswer::Close).await;
    let answer = ask(
        &fleet,
        ClientRequest::post("/charge/", "id-of-the-lost", "10"),
    )
    .await;
    assert_eq!(answer.status, 502);
    assert_eq!(runs(&replicas, "id-of-the-lost"), 1);
    let log = fleet.settings[0].with_extension("log");
    wait_until("the refusal is in the log", || {
        fleet.routers[0].log_text().contains("not answered")
    })
    .await;
    let output = std::process::Command::new(program_path("archmastctl"))
        .arg("trace")
        .arg("id-of-the-lost")
        .arg(&log)
        .output()
        .expect("archmastctl runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let places: Vec<Option<usize>> = ["sent", "attempt ended", "not answered", "code 50:"]
        .iter()
        .map(|what| text.find(what))
        .collect();
    assert!(
        places.iter().all(Option::is_some) && places.is_sorted(),
        "{text}"
    );
    assert!(
        text.contains("ran=unknown") && text.contains("replica=i-"),
        "{text}"
    );
}
