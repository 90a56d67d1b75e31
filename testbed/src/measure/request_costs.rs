//! Processor time that a router takes for requests, by what becomes of them.

use {
    super::ProcessUsage,
    crate::direct::{Client, ClientRequest, DirectFleet, ReplicaAnswer, RouteText},
    std::time::Duration,
};

/// Connections that are kept for all requests, one request at a time each.
const CONNECTIONS: usize = 8;

/// Bytes of a body: some 9,000 prompt tokens, a byte each.
const BODY: usize = 9200;

/// Events of a stream.
const EVENTS: u32 = 7;

/// Processor time a request, in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct RequestCosts {
    pub streamed: f64, // a prompt, answered by a stream
    pub plain: f64,    // answered whole
    pub refused: f64,  // turned away before anything was chosen for it
}

/// Measures one router with two replicas, with so many requests of each kind.
pub async fn request_costs(requests: usize) -> RequestCosts {
    let stream = ReplicaAnswer::Events {
        last: EVENTS,
        pause: Duration::ZERO,
    };
    let chat = RouteText::new("/chat/", "s", "streaming");
    let plain = RouteText::new("/plain/", "s", "idempotent");
    let (fleet, replicas) = DirectFleet::with_two_replicas(stream, &[chat, plain]).await;
    let prompt = ClientRequest::post("/chat/", "id", &"x".repeat(BODY))
        .header("Archmast-Deadline-Ms", "6000")
        .header("Archmast-Model", "m")
        .header("Archmast-Token-Count", "9200,50")
        .header("Archmast-Prefix-Hash", "5c1e:2500,91bd:3800,e440:2900");
    let streamed = cost(&fleet, &prompt, 200, requests).await;
    for replica in &replicas {
        replica.usually(ReplicaAnswer::ok("answer"));
    }
    let get = ClientRequest::get("/plain/", "id");
    let plain = cost(&fleet, &get, 200, requests).await;
    let elsewhere = ClientRequest::post("/none/", "id", &"x".repeat(BODY));
    let refused = cost(&fleet, &elsewhere, 404, requests).await;
    RequestCosts {
        streamed,
        plain,
        refused,
    }
}

async fn cost(
    fleet: &DirectFleet,
    request: &ClientRequest,
    status: u16,
    requests: usize,
) -> f64 {
    let router = fleet.routers[0].id();
    call_often(fleet, request, status, requests / 10).await;
    let before = ProcessUsage::of(router);
    call_often(fleet, request, status, requests).await;
    ProcessUsage::of(router).cpu_since(&before) * 1e6 / requests as f64
}

async fn call_often(
    fleet: &DirectFleet,
    request: &ClientRequest,
    status: u16,
    requests: usize,
) {
    let callers = (0..CONNECTIONS).map(|_| async {
        let mut client = Client::connect(fleet.callers[0]).await.expect("connected");
        for _ in 0..requests / CONNECTIONS {
            let answer = client.call(request).await;
            assert_eq!(answer.status, status, "{}", answer.text());
        }
    });
    futures::future::join_all(callers).await;
}
