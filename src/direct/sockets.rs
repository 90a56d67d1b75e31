//! Options of TCP connections.

use {
    socket2::{SockRef, TcpKeepalive},
    std::time::Duration,
    tokio::net::TcpStream,
};

/// Bytes that stay unacknowledged this long mean that the other end is gone.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2500);

/// A silent connection is probed after this long, this often, this many times.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_EVERY: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;

/// Sets a connection up so that a host that is gone without a word is noticed.
pub fn watch_over(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    let outcomes = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)),
    ];
    for error in outcomes.into_iter().filter_map(Result::err) {
        log::debug!("socket option: {error}");
    }
}
