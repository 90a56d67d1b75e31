use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU8, Ordering},
};

static NEXT: AtomicU8 = AtomicU8::new(1);

/// A loopback address of its own for each fleet, so that no other program's
/// outgoing connection can take a port that was just found free.
pub fn own_address() -> IpAddr {
    let process = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let (high, low) = (1 + (process >> 8) % 250, process % 256);
    IpAddr::V4(Ipv4Addr::new(127, high as u8, low as u8, number))
}

/// A port that is free for TCP.
pub fn free_tcp(ip: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind(SocketAddr::new(ip, 0))?.local_addr()
}

/// A port that is free for UDP.
pub fn free_udp(ip: IpAddr) -> io::Result<SocketAddr> {
    UdpSocket::bind(SocketAddr::new(ip, 0))?.local_addr()
}
