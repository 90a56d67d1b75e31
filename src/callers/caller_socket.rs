use {
    socket2::SockRef,
    std::{io, net::SocketAddr, os::fd::AsFd},
    tokio::net::{TcpListener, TcpSocket},
};

/// SO_RCVBUF of a caller's connection, which the kernel doubles for its own overhead. By default it
/// lets the buffer of each connection grow to megabytes.
const USUAL_BYTES: usize = 8 << 10;

/// The same while a long body is read, so that it takes fewer round trips.
const LONG_BODY_BYTES: usize = 32 << 10;

/// The most that the kernel keeps of bytes of one connection that were not read.
pub const MAX_UNREAD_BYTES: u64 = 13 << 10;

/// How much more that is while a long body is read, and as much again: a connection that is closed
/// for room is replaced before its socket is gone.
pub const MAX_UNREAD_OF_LONG_BODY: u64 = 2 * (44 << 10);

/// Length of the queue of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// Binds an address on which callers connect. What the kernel keeps of bytes that were not read is
/// bounded on their connections.
pub fn bind_callers(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    // Before it listens: connections inherit it, and tell their callers of it as they open.
    if let Err(error) = set(&socket, USUAL_BYTES) {
        log::warn!("the receive buffers of callers' connections are not bounded: {error}");
    }
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Changes the bound of one connection for a long body, and back.
pub fn set_long_body(
    connection: &impl AsFd,
    is_long: bool,
) {
    let bytes = if is_long {
        LONG_BODY_BYTES
    } else {
        USUAL_BYTES
    };
    if let Err(error) = set(connection, bytes) {
        log::debug!("a receive buffer keeps its size: {error}");
    }
}

fn set(
    socket: &impl AsFd,
    bytes: usize,
) -> io::Result<()> {
    SockRef::from(socket).set_recv_buffer_size(bytes)
}
