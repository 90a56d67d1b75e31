//! Options of TCP connections.

use {
    socket2::{SockRef, TcpKeepalive},
    std::time::Duration,
    tokio::net::TcpStream,
};

/// Bytes that stay unacknowledged this long mean that the other end is gone.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2500);

/// A caller may read nothing for some time; until its window opens it acknowledges nothing
/// new, as one that is gone.
const CALLER_UNACKNOWLEDGED: Duration = Duration::from_secs(10);

/// What the kernel holds for the other end beyond what is on its way, in bytes.
const UNSENT: u32 = 128 << 10;

/// A silent connection is probed after this long, this often, this many times.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_EVERY: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;

/// Sets a connection to a replica up so that a host that is gone without a word is noticed.
pub fn watch_over(stream: &TcpStream) {
    set_up(stream, UNACKNOWLEDGED);
}

/// The same for a caller's connection.
pub fn watch_over_caller(stream: &TcpStream) {
    set_up(stream, CALLER_UNACKNOWLEDGED);
}

fn set_up(
    stream: &TcpStream,
    unacknowledged: Duration,
) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    let outcomes = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(unacknowledged)),
        socket.set_tcp_notsent_lowat(UNSENT),
    ];
    for error in outcomes.into_iter().filter_map(Result::err) {
        log::debug!("socket option: {error}");
    }
}
