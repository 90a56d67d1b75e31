use {
    crate::direct::{Client, ClientRequest},
    std::net::SocketAddr,
};

/// The bytes that a router counts for its callers, by the metrics at its operator port.
pub async fn counted_bytes(operator: SocketAddr) -> usize {
    let request = ClientRequest::get("/metrics", "metrics");
    let answer = Client::call_once(operator, &request).await;
    let text = answer.text();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("archmast_caller_bytes{what=\"taken\"} "));
    line.and_then(|bytes| bytes.parse().ok()).unwrap_or(0)
}
