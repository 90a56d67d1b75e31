//! Processor time that a router takes for a request, by the kind of its answer.

use {
    super::ProcessUsage,
    crate::direct::{Client, ClientRequest, DirectFleet, ReplicaAnswer, RouteText},
    std::time::Duration,
};

/// Number of client connections, each with one request at a time.
const CONNECTIONS: usize = 8;

/// Length of a body: some 9,000 prompt tokens of one byte each.
const BODY_BYTES: usize = 9200;

/// Number of events in a streamed answer.
const EVENTS: u32 = 7;

/// Processor time of the router per request, in microseconds.
#[derive(Debug, Clone, Copy)]
pub struct RequestCosts {
    pub streamed: f64, // a prompt that is answered by an event stream
    pub plain: f64,    // a GET that is answered by one body
    pub refused: f64,  // a request without a route, refused before a replica is chosen
}

/// Measures one router with two replicas, with `requests` requests of each kind.
pub async fn request_costs(requests: usize) -> RequestCosts {
    let stream = ReplicaAnswer::Events {
        last: EVENTS,
        pause: Duration::ZERO,
    };
    let chat = RouteText::new("/chat/", "s", "streaming");
    let plain = RouteText::new("/plain/", "s", "idempotent");
    let (fleet, replicas) = DirectFleet::with_two_replicas(stream, &[chat, plain]).await;
    let prompt = ClientRequest::post("/chat/", "id", &"x".repeat(BODY_BYTES))
        .header("Archmast-Deadline-Ms", "6000")
        .header("Archmast-Model", "m")
        .header("Archmast-Token-Count", "9200,50")
        .header("Archmast-Prefix-Hash", "5c1e:2500,91bd:3800,e440:2900");
    let streamed = cost(&fleet, &prompt, 200, requests).await;
    for replica in &replicas {
        replica.set_default_answer(ReplicaAnswer::ok("answer"));
    }
    let get = ClientRequest::get("/plain/", "id");
    let plain = cost(&fleet, &get, 200, requests).await;
    let unrouted = ClientRequest::post("/none/", "id", &"x".repeat(BODY_BYTES));
    let refused = cost(&fleet, &unrouted, 404, requests).await;
    RequestCosts {
        streamed,
        plain,
        refused,
    }
}

/// Microseconds per request, after a warm-up with a tenth of the requests.
async fn cost(
    fleet: &DirectFleet,
    request: &ClientRequest,
    status: u16,
    requests: usize,
) -> f64 {
    let router = fleet.routers[0].id();
    send_requests(fleet, request, status, requests / 10).await;
    let before = ProcessUsage::of(router);
    send_requests(fleet, request, status, requests).await;
    ProcessUsage::of(router).cpu_since(&before) * 1e6 / requests as f64
}

async fn send_requests(
    fleet: &DirectFleet,
    request: &ClientRequest,
    status: u16,
    requests: usize,
) {
    let callers = (0..CONNECTIONS).map(|_| async {
        let mut client = Client::connect(fleet.caller_addresses[0])
            .await
            .expect("connected");
        for _ in 0..requests / CONNECTIONS {
            let answer = client.call(request).await;
            assert_eq!(answer.status, status, "{}", answer.text());
        }
    });
    futures::future::join_all(callers).await;
}
