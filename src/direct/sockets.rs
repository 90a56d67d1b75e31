//! Options of TCP connections.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{os::fd::AsFd, time::Duration},
    tokio::net::TcpStream,
};

/// TCP_USER_TIMEOUT of outgoing connections: the peer is considered dead once sent bytes are
/// unacknowledged for this long.
const OUTGOING_USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// TCP_USER_TIMEOUT of callers' connections. Longer, as a caller that reads nothing for a
/// while keeps its window closed and acknowledges nothing new either.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// TCP_NOTSENT_LOWAT: bytes that the kernel buffers beyond those in flight.
const NOTSENT_LOWAT_BYTES: u32 = 128 << 10;

/// Keep-alive probes of idle connections: time before the first, interval, and number.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// Sets the options of a connection to a replica or another router, so that a host that
/// vanishes without closing it is detected.
pub fn configure_outgoing_socket(stream: &TcpStream) {
    configure(stream, OUTGOING_USER_TIMEOUT);
}

/// Sets the same options for a caller's connection, with a longer time-out.
pub fn configure_caller_socket(stream: &TcpStream) {
    configure(stream, CALLER_USER_TIMEOUT);
}

/// The bytes that a connection has received and that were not read.
pub fn unread_bytes(socket: &impl AsFd) -> u64 {
    rustix::io::ioctl_fionread(socket).unwrap_or_else(|error| {
        log::debug!("unread bytes are not known: {error}");
        0
    })
}

fn configure(
    stream: &TcpStream,
    user_timeout: Duration,
) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(user_timeout)),
        socket.set_tcp_notsent_lowat(NOTSENT_LOWAT_BYTES),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!("cannot set socket option: {error}");
    }
}
