use std::{
    fs,
    net::{IpAddr, SocketAddr},
};

/// The state of a TCP connection that the other side has closed, as the kernel prints it.
const CLOSE_WAIT: &str = "08";

/// Whether the kernel has noted, for the `local` end of a connection on this machine, that `peer`
/// closed it. On a busy machine that takes a while after the close.
pub fn is_closed_by_peer(
    local: SocketAddr,
    peer: SocketAddr,
) -> bool {
    let connections = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let (local, peer) = (kernel_text(local), kernel_text(peer));
    connections.lines().any(|line| {
        let mut fields = line.split_whitespace().skip(1);
        fields.next() == Some(&*local)
            && fields.next() == Some(&*peer)
            && fields.next() == Some(CLOSE_WAIT)
    })
}

/// An IPv4 address as the kernel prints it: the number as it is in memory, and the port.
fn kernel_text(address: SocketAddr) -> String {
    let IpAddr::V4(ip) = address.ip() else {
        return String::new();
    };
    let number = u32::from_ne_bytes(ip.octets());
    format!("{number:08X}:{:04X}", address.port())
}
