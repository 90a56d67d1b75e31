use {
    super::{Crowd, Shape},
    crate::{
        direct::{Client, ClientRequest},
        fleet::resident_bytes,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Connections of a measurement.
const CROWD: usize = 300;

/// Routers report once a second what they count.
const REPORT: Duration = Duration::from_millis(1200);

/// How much more a router takes, and counts for its callers, with a crowd.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Growth {
    pub taken: usize,   // resident bytes
    pub counted: usize, // bytes
}

impl Growth {
    /// Measures a router at which no callers are, with a crowd of this shape.
    pub async fn measure(
        process: u32,
        operator: SocketAddr,
        callers: SocketAddr,
        shape: Shape,
    ) -> Self {
        tokio::time::sleep(REPORT).await;
        let before = (resident_bytes(process), counted_bytes(operator).await);
        let crowd = Crowd::gather(callers, CROWD, shape, true).await;
        tokio::time::sleep(REPORT).await;
        let after = (resident_bytes(process), counted_bytes(operator).await);
        let growth = Self {
            taken: after.0 - before.0,
            counted: after.1 - before.1,
        };
        println!(
            "{} open, each takes {} bytes, {} are counted",
            crowd.open(),
            growth.taken / CROWD,
            growth.counted / CROWD
        );
        growth
    }
}

/// The bytes that a router counts for its callers, by the metrics at its operator port.
async fn counted_bytes(operator: SocketAddr) -> usize {
    let request = ClientRequest::get("/metrics", "metrics");
    let answer = Client::call_once(operator, &request).await;
    let text = answer.text();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("archmast_caller_bytes{what=\"taken\"} "));
    line.and_then(|bytes| bytes.parse().ok()).unwrap_or(0)
}
