//! Clients that do not keep to the limits: whatever a crowd of them sends, in whatever state its
//! connections stop, the router runs on within the memory and the descriptors of its host, and a
//! request inside the limits is answered, beside the crowd and after it.
//!
//! The crowds and the bounds follow from the host that the settings state, not from what a router
//! was seen to take.

use {
    archmast_testbed::{
        direct::{
            Client, ClientRequest, ConfigText, DirectFleet, Replica, ReplicaAnswer, RouteText,
            forwarding_fleet_with,
        },
        fleet::{wait_until, wait_until_async},
        unruly::{Crowd, Growth, HostMeter, Shape},
    },
    rustix::process::{Resource, Rlimit, getrlimit, setrlimit},
    serde_json::Value,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::timeout,
};

/// The memory of the router's host, in megabytes.
const HOST_MB: usize = 64;

/// The same where a crowd sends many small chunks, which take long to read: a smaller crowd then
/// does as much.
const SMALL_HOST_MB: usize = 40;

/// Bytes of a head, and of a body, that the configuration allows.
const MAX_HEAD: usize = 16 << 10;
const MAX_BODY: usize = 2 << 20;

/// How long a request waits for its answer before its client asks again.
const PATIENCE: Duration = Duration::from_secs(10);

/// A router on a host of this memory, and a replica.
struct Host {
    memory: usize, // bytes
    fleet: DirectFleet,
    replica: Replica,
    meter: HostMeter,
}

impl Host {
    /// Starts the router without a configuration.
    async fn start_without_config(memory_mb: usize) -> Self {
        let fleet = DirectFleet::start(1, &format!("[memory]\nlimit = {memory_mb} MB\n")).await;
        let replica = fleet
            .start_replica("i-a", "s", ReplicaAnswer::ok("answer"))
            .await;
        let meter = HostMeter::start(fleet.routers[0].id(), fleet.caller_addresses[0]);
        Self {
            memory: memory_mb * 1_000_000,
            fleet,
            replica,
            meter,
        }
    }

    /// Starts the router, and waits until it serves.
    async fn start(memory_mb: usize) -> Self {
        let host = Self::start_without_config(memory_mb).await;
        host.publish().await;
        host
    }

    async fn publish(&self) {
        let routes = [
            RouteText::new("/plain/", "s", "non_idempotent"),
            RouteText::new("/events/", "s", "streaming"),
        ];
        let config = ConfigText {
            max_head: MAX_HEAD,
            max_body: MAX_BODY,
            ..ConfigText::new(1, &routes)
        };
        self.fleet.store.publish_config(&config);
        self.fleet.wait_until_ready().await;
        self.answers_a_request("first").await;
    }

    async fn gather(
        &self,
        size: usize,
        shape: Shape,
    ) -> Crowd {
        Crowd::gather(self.fleet.caller_addresses[0], size, shape, true).await
    }

    /// Waits until a request inside the limits is answered, on a connection of its own.
    async fn answers_a_request(
        &self,
        id: &str,
    ) {
        let request = ClientRequest::post("/plain/", id, "prompt");
        wait_until_async("a request inside the limits is answered", async || {
            let calling = Client::call_once(self.fleet.caller_addresses[0], &request);
            let answer = timeout(PATIENCE, calling).await;
            answer.is_ok_and(|answer| answer.is_whole_success())
        })
        .await;
    }

    /// Checks that the process runs, and took no more than its host has.
    fn assert_bounded(
        &mut self,
        when: &str,
    ) {
        let status = self.fleet.routers[0].exit_status();
        assert!(status.is_none(), "{when}: the router ended: {status:?}");
        let peak = self.meter.peak_bytes();
        println!("{when}: {peak} bytes, {} allowed", self.memory);
        println!("{when}: refused by code: {:?}", self.refusals());
        assert!(
            peak <= self.memory,
            "{when}: the router took {peak} bytes of {}",
            self.memory
        );
    }

    /// The requests that the router refused, by code.
    fn refusals(&self) -> BTreeMap<u64, usize> {
        let mut counts = BTreeMap::new();
        for line in self.fleet.routers[0].log_text().lines() {
            let line: Value = serde_json::from_str(line).unwrap_or_default();
            if let Some(code) = line["code"].as_u64() {
                *counts.entry(code).or_default() += 1;
            }
        }
        counts
    }

    /// Plays a crowd: beside it and after it the router serves, within its bounds.
    async fn bears(
        &mut self,
        what: &str,
        size: usize,
        shape: Shape,
    ) {
        let crowd = self.gather(size, shape).await;
        println!("{what}: {} of {size} connections are open", crowd.open());
        self.assert_bounded(&format!("beside {what}"));
        self.answers_a_request("beside").await;
        drop(crowd);
        self.answers_a_request("after").await;
        self.assert_bounded(&format!("after {what}"));
    }
}

/// The head of a request with a body in chunks.
fn chunked(path: &str) -> Shape {
    Shape::post(path, "key-1", "Transfer-Encoding: chunked\r\n")
}

/// The head of a request with a body of this length.
fn sized(
    path: &str,
    bytes: usize,
) -> Shape {
    Shape::post(path, "key-1", &format!("Content-Length: {bytes}\r\n"))
}

/// A header line of a kilobyte.
fn long_line() -> String {
    format!("x: {}\r\n", "y".repeat(1000))
}

fn header_lines(count: usize) -> String {
    let lines = (0..count).map(|number| format!("x-header-{number}: {number}\r\n"));
    lines.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_eight_bytes_take_no_more_than_the_host_has() {
    let mut host = Host::start(SMALL_HOST_MB).await;
    let shape = chunked("/plain/").chunks(8, 128 << 10);
    host.bears("bodies in chunks of 8 bytes", 40, shape).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_in_chunks_of_one_byte_take_no_more_than_the_host_has() {
    let mut host = Host::start(SMALL_HOST_MB).await;
    let shape = chunked("/plain/").chunks(1, 16 << 10).end("0\r\n\r\n");
    host.bears("whole bodies in chunks of a byte", 40, shape)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_lack_their_last_byte_take_no_more_than_the_host_has() {
    let mut host = Host::start(HOST_MB).await;
    let shape = sized("/plain/", MAX_BODY).pieces("x".repeat(1024), MAX_BODY / 1024 - 1);
    host.bears("bodies that lack their end", 800, shape).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_far_over_the_limit_take_no_more_than_the_host_has() {
    let mut host = Host::start(HOST_MB).await;
    let announced = sized("/plain/", 1 << 30).pieces("x".repeat(1024), 4 << 10);
    host.bears("announced bodies over the limit", 100, announced)
        .await;
    let sent = chunked("/plain/").chunks(1024, 4 * MAX_BODY);
    host.bears("bodies over the limit", 100, sent).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_begun_before_the_first_configuration_take_no_more_than_the_host_has() {
    let mut host = Host::start_without_config(SMALL_HOST_MB).await;
    let shape = chunked("/plain/").chunks(8, 128 << 10);
    let early = host.gather(40, shape.clone()).await;
    host.assert_bounded("before a configuration");
    host.publish().await;
    let late = host.gather(40, shape).await;
    host.answers_a_request("beside").await;
    drop((early, late));
    host.answers_a_request("after").await;
    host.assert_bounded("after the configuration");
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_take_no_more_than_the_host_has() {
    let mut host = Host::start(HOST_MB).await;
    let start = "POST /plain/ HTTP/1.1\r\nHost: app.example\r\n";
    let shape = Shape::new(start).pieces(long_line(), 15);
    host.bears("heads of 15 KB without an end", 2500, shape)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_at_the_longest_that_is_configured_are_bounded() {
    let mut host = Host::start_without_config(HOST_MB).await;
    let routes = [RouteText::new("/plain/", "s", "non_idempotent")];
    host.fleet.store.publish_config(&ConfigText {
        max_head: 64 << 10,
        ..ConfigText::new(1, &routes)
    });
    host.fleet.wait_until_ready().await;
    host.answers_a_request("first").await;
    let start = "POST /plain/ HTTP/1.1\r\nHost: app.example\r\n";
    let shape = Shape::new(start).pieces(long_line(), 60);
    host.bears("heads of 60 KB without an end", 800, shape)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_heads_without_their_bodies_take_no_more_than_the_host_has() {
    let mut host = Host::start(HOST_MB).await;
    let headers = format!("Content-Length: 1000\r\n{}", header_lines(60));
    let shape = Shape::post("/plain/", "key-1", &headers);
    host.bears("whole heads without bodies", 2500, shape).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_send_nothing_take_no_more_than_the_host_has() {
    let mut host = Host::start(HOST_MB).await;
    host.bears("connections that send nothing", 4000, Shape::new(""))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_bodies_that_go_on_take_no_more_than_the_host_has() {
    let mut host = Host::start(HOST_MB).await;
    for (path, key) in [("/nowhere/", "key-1"), ("/plain/", "nobody")] {
        let shape = Shape::post(path, key, "Transfer-Encoding: chunked\r\n")
            .chunks(1024, MAX_BODY - 1024)
            .in_writes_of(1024);
        host.bears(&format!("refused bodies to {path}"), 400, shape)
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn extensions_and_trailers_take_no_more_than_the_host_has() {
    let mut host = Host::start(HOST_MB).await;
    let extension = chunked("/plain/").end(format!("5;{}", "x".repeat(15 << 10)));
    host.bears("chunk extensions without an end", 1500, extension)
        .await;
    let trailers = long_line().repeat(15);
    let trailers = chunked("/plain/").end(format!("2\r\nok\r\n0\r\n{trailers}"));
    host.bears("trailers without an end", 1500, trailers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_answers_nobody_reads_take_no_more_than_the_host_has() {
    let mut host = Host::start(HOST_MB).await;
    let request = ClientRequest::post("/plain/", "unread", &"x".repeat(1000)).bytes();
    let shape = Shape::new("").pieces(request, 400);
    let address = host.fleet.caller_addresses[0];
    let crowd = Crowd::gather(address, 400, shape, false).await;
    host.answers_a_request("beside").await;
    drop(crowd);
    host.answers_a_request("after").await;
    host.assert_bounded("after answers that nobody read");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_are_run_take_no_more_than_the_host_has() {
    let mut host = Host::start(HOST_MB).await;
    host.replica.set_default_answer(ReplicaAnswer::Slow {
        body: "late".to_owned(),
        after: Duration::from_secs(8),
    });
    let headers = format!("Content-Length: 1000\r\n{}", header_lines(60));
    let shape = Shape::post("/plain/", "key-1", &headers).end("x".repeat(1000));
    let crowd = host.gather(2500, shape).await;
    host.replica.set_default_answer(ReplicaAnswer::ok("answer"));
    host.answers_a_request("beside").await;
    drop(crowd);
    host.answers_a_request("after").await;
    host.assert_bounded("after requests that took long");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_connections_take_is_counted() {
    let whole = format!("Content-Length: 1000\r\n{}", header_lines(60));
    for (what, shape) in [
        ("silent connections", Shape::new("")),
        (
            "short heads",
            Shape::new("POST /plain/ HTTP/1.1\r\n").pieces(long_line(), 3),
        ),
        (
            "long heads",
            Shape::new("POST /plain/ HTTP/1.1\r\n").pieces(long_line(), 15),
        ),
        ("heads of 60 lines", Shape::post("/plain/", "key-1", &whole)),
        ("refused heads", Shape::post("/nowhere/", "key-1", &whole)),
        (
            "bodies of 20 KB",
            sized("/plain/", 30_000).pieces("x", 20_000),
        ),
        ("small chunks", chunked("/plain/").chunks(8, 6_000)),
        (
            "requests that take long",
            Shape::post("/plain/", "key-1", &whole).end("x".repeat(1000)),
        ),
    ] {
        let host = Host::start(HOST_MB).await;
        host.replica.set_default_answer(ReplicaAnswer::Slow {
            body: "late".to_owned(),
            after: Duration::from_secs(9),
        });
        println!("{what}");
        let Growth { taken, counted } = Growth::measure(
            host.fleet.routers[0].id(),
            host.fleet.operator_addresses[0],
            host.fleet.caller_addresses[0],
            shape,
        )
        .await;
        assert!(
            counted >= taken,
            "{what}: {taken} bytes are taken, {counted} counted"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn crowds_of_all_shapes_in_series_take_no_more_than_the_host_has() {
    let mut host = Host::start(HOST_MB).await;
    for _ in 0..2 {
        let chunks = chunked("/plain/").chunks(8, 256 << 10);
        host.bears("bodies in chunks", 60, chunks).await;
        let heads = Shape::new("GET / HTTP/1.1\r\n").pieces(long_line(), 14);
        host.bears("heads", 1000, heads).await;
        let sized = sized("/plain/", MAX_BODY).pieces("x".repeat(1024), 1000);
        host.bears("bodies", 100, sized).await;
        let whole = Shape::post("/plain/", "key-1", "Content-Length: 9\r\n");
        host.bears("whole heads", 1500, whole).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_while_a_crowd_takes_all_descriptors() {
    const DESCRIPTORS: u64 = 400;
    let own = getrlimit(Resource::Nofile);
    let lowered = Rlimit {
        current: Some(DESCRIPTORS),
        ..own
    };
    // The router gets the limit of the process that starts it.
    setrlimit(Resource::Nofile, lowered).expect("a lower limit");
    let mut host = Host::start_without_config(HOST_MB).await;
    setrlimit(Resource::Nofile, own).expect("the limit as it was");
    host.publish().await;
    for (what, shape) in [
        ("silent connections", Shape::new("")),
        (
            "heads without an end",
            Shape::new("POST /plain/ HTTP/1.1\r\n"),
        ),
        ("heads without bodies", sized("/plain/", 1000)),
        (
            "refused bodies",
            Shape::post("/nowhere/", "key-1", "Content-Length: 99\r\n"),
        ),
    ] {
        let crowd = host.gather(900, shape).await;
        host.answers_a_request("beside").await;
        let descriptors = host.meter.descriptors() as u64;
        assert!(
            descriptors < DESCRIPTORS,
            "{what}: {descriptors} descriptors of {DESCRIPTORS}"
        );
        drop(crowd);
        host.answers_a_request("after").await;
        host.assert_bounded(what);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_stops_within_its_grace_beside_crowds_in_every_state() {
    let mut host = Host::start(HOST_MB).await;
    let crowds = [
        host.gather(50, Shape::new("")).await,
        host.gather(300, Shape::new("POST /plain/ HTTP/1.1\r\n"))
            .await,
        host.gather(300, sized("/plain/", 1000)).await,
        host.gather(
            300,
            Shape::post("/nowhere/", "key-1", "Content-Length: 99\r\n"),
        )
        .await,
        host.gather(20, chunked("/plain/").chunks(8, 64 << 10))
            .await,
        host.gather(20, chunked("/plain/").end("2\r\nok\r\n0\r\nx: y\r\n"))
            .await,
    ];
    host.assert_bounded("before the stop");
    host.fleet.routers[0].terminate();
    wait_until("the router has stopped", || {
        host.fleet.routers[0].exit_status().is_some()
    })
    .await;
    let status = host.fleet.routers[0].exit_status();
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    drop(crowds);
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_are_handed_on_take_no_more_than_the_hosts_have() {
    let memory = format!("[memory]\nlimit = {HOST_MB} MB\n");
    let (mut fleet, _replica) = forwarding_fleet_with(&memory).await;
    let meters: Vec<HostMeter> = (0..2)
        .map(|router| HostMeter::start(fleet.routers[router].id(), fleet.caller_addresses[router]))
        .collect();
    let address = fleet.caller_addresses[0];
    let request = ClientRequest::post("/plain/", "ordinary", "prompt");
    for shape in [
        chunked("/plain/").chunks(8, 60 << 10),
        Shape::new("POST /plain/ HTTP/1.1\r\n").pieces(long_line(), 14),
        sized("/plain/", 1000),
    ] {
        let crowd = Crowd::gather(address, 1500, shape, true).await;
        for _ in ["beside", "after"] {
            wait_until_async("a request inside the limits is answered", async || {
                let answer = timeout(PATIENCE, Client::call_once(address, &request)).await;
                answer.is_ok_and(|answer| answer.is_whole_success())
            })
            .await;
        }
        drop(crowd);
        for (router, meter) in meters.iter().enumerate() {
            let status = fleet.routers[router].exit_status();
            assert!(status.is_none(), "router {router} ended: {status:?}");
            let peak = meter.peak_bytes();
            println!("router {router}: {peak} bytes");
            assert!(
                peak <= HOST_MB * 1_000_000,
                "router {router} took {peak} bytes"
            );
        }
    }
}
