//! The product's own form: whatever a crowd of callers sends, with or without a key, a router runs
//! on within the memory of its host, and an ordinary request is answered beside it and after it.

use {
    archmast_testbed::{
        fleet::{Fleet, FleetPlan, FleetText, account_key, wait_until_async},
        unruly::{Crowd, Growth, HostMeter, Shape},
    },
    reqwest::Method,
    std::time::Duration,
};

/// The memory of the router's host, of which the settings give requests that wait a part.
const HOST_BYTES: usize = 128_000_000;
const WAITING: &str = "32 MiB";

/// The largest body that is allowed, by the shipped settings.
const MAX_BODY: usize = 2 << 20;

/// How long a request waits for its answer before its client asks again.
const PATIENCE: Duration = Duration::from_secs(10);

struct Host {
    fleet: Fleet,
    meter: HostMeter,
}

impl Host {
    async fn start() -> Self {
        let text = FleetText::default()
            .class("chat", "20 s")
            .models("drafting", "drafter")
            .plain("gates", "/gate")
            .account("lot-a", 1.0, "chat", "");
        let plan = FleetPlan::new(text).routers(1).plains(1, 4, Duration::ZERO);
        let fleet = Fleet::start(plan.set_router("waiting.max_bytes", WAITING)).await;
        let meter = HostMeter::start(fleet.routers[0].process.id(), fleet.routers[0].callers);
        Self { fleet, meter }
    }

    async fn gather(
        &self,
        size: usize,
        shape: Shape,
    ) -> Crowd {
        Crowd::gather(self.fleet.routers[0].callers, size, shape, true).await
    }

    /// Waits until a request inside the limits is answered, on a connection of its own.
    async fn answers_a_request(&self) {
        wait_until_async("a request inside the limits is answered", async || {
            let caller = self.fleet.caller(0, "lot-a");
            let request = caller.request(Method::POST, "/gate/x").body("prompt");
            let answer = request.timeout(PATIENCE).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }

    /// Plays a crowd: beside it and after it the router serves, within its bounds.
    async fn bears(
        &mut self,
        what: &str,
        size: usize,
        shape: Shape,
    ) {
        self.answers_a_request().await;
        let crowd = self.gather(size, shape).await;
        println!("{what}: {} of {size} connections are open", crowd.open());
        self.answers_a_request().await;
        drop(crowd);
        self.answers_a_request().await;
        let status = self.fleet.routers[0].process.exit_status();
        assert!(status.is_none(), "{what}: the router ended: {status:?}");
        let peak = self.meter.peak_bytes();
        println!("{what}: {peak} bytes, {HOST_BYTES} allowed");
        assert!(peak <= HOST_BYTES, "{what}: {peak} bytes of {HOST_BYTES}");
    }
}

/// A request's head with these further lines, each with its line end.
fn head(lines: &str) -> Shape {
    Shape::new(format!(
        "POST /gate/x HTTP/1.1\r\nHost: gate.example\r\n{lines}\r\n"
    ))
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_callers_without_a_key_take_no_more_than_the_host_has() {
    let mut host = Host::start().await;
    let shape = head(&format!("Content-Length: {MAX_BODY}\r\n"));
    let shape = shape.pieces("x".repeat(1024), MAX_BODY / 1024 - 1);
    host.bears("bodies without a key", 100, shape).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_an_account_take_no_more_than_the_host_has() {
    let mut host = Host::start().await;
    let key = account_key("lot-a");
    let lines = format!("Authorization: Bearer {key}\r\nContent-Length: {MAX_BODY}\r\n");
    let shape = head(&lines).pieces("x".repeat(1024), MAX_BODY / 1024 - 1);
    host.bears("bodies that lack their end", 100, shape).await;
    let lines = format!("Authorization: Bearer {key}\r\nTransfer-Encoding: chunked\r\n");
    let shape = head(&lines).chunks(8, MAX_BODY - 8);
    host.bears("bodies in chunks of 8 bytes", 60, shape).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_take_no_more_than_the_host_has() {
    let mut host = Host::start().await;
    let shape = Shape::new("POST /gate/x HTTP/1.1\r\n");
    let shape = shape.pieces(format!("x: {}\r\n", "y".repeat(4000)), 75);
    host.bears("heads of 300 KB without an end", 400, shape)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_heads_without_their_bodies_take_no_more_than_the_host_has() {
    let mut host = Host::start().await;
    let lines: String = (0..60)
        .map(|number| format!("x-{number}: {number}\r\n"))
        .collect();
    let lines = format!(
        "Authorization: Bearer {}\r\nContent-Length: 1000\r\n{lines}",
        account_key("lot-a")
    );
    host.bears("whole heads without bodies", 4000, head(&lines))
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn what_connections_take_is_counted() {
    let lines: String = (0..60)
        .map(|number| format!("x-{number}: {number}\r\n"))
        .collect();
    let key = account_key("lot-a");
    let keyed = format!("Authorization: Bearer {key}\r\n");
    for (what, shape) in [
        ("silent connections", Shape::new("")),
        (
            "heads without an end",
            Shape::new("POST /gate/x HTTP/1.1\r\n").pieces("x: yyyyyyyyyyyyyyyyyyyy\r\n", 90),
        ),
        (
            "whole heads",
            head(&format!("{keyed}Content-Length: 1000\r\n")),
        ),
        (
            "heads of 60 lines",
            head(&format!("{keyed}Content-Length: 1000\r\n{lines}")),
        ),
        (
            "small chunks",
            head(&format!("{keyed}Transfer-Encoding: chunked\r\n")).chunks(8, 6_000),
        ),
        (
            "refused heads",
            head(&format!("Content-Length: 1000\r\n{lines}")),
        ),
    ] {
        let host = Host::start().await;
        host.answers_a_request().await;
        println!("{what}");
        let Growth { taken, counted } = Growth::measure(
            host.fleet.routers[0].process.id(),
            host.fleet.routers[0].operator,
            host.fleet.routers[0].callers,
            shape,
        )
        .await;
        assert!(
            counted >= taken,
            "{what}: {taken} bytes are taken, {counted} counted"
        );
    }
}
