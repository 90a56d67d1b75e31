use std::{
    collections::HashSet,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::{
        Mutex,
        atomic::{AtomicU8, Ordering},
    },
};

static NEXT: AtomicU8 = AtomicU8::new(0);

/// A fleet's loopback addresses: one where stand-ins and proxies bind whatever
/// port is free, and one for the product's processes, whose ports must be known
/// before they start. Apart from each other, and from the address that
/// outgoing connections come from, nothing takes a port found free.
pub struct Loopback {
    pub standins: IpAddr,
    processes: IpAddr,
    given: Mutex<HashSet<u16>>, // ports found free before
}

impl Default for Loopback {
    fn default() -> Self {
        Self::new()
    }
}

impl Loopback {
    /// Addresses that no other fleet of this machine has at this time.
    pub fn new() -> Self {
        let process = std::process::id();
        let number = NEXT.fetch_add(2, Ordering::SeqCst);
        let (high, low) = ((1 + (process >> 8) % 250) as u8, (process % 256) as u8);
        let address = |last| IpAddr::V4(Ipv4Addr::new(127, high, low, last));
        Self {
            standins: address(number + 1),
            processes: address(number + 2),
            given: Mutex::default(),
        }
    }

    /// A port for TCP that no process of the fleet has yet.
    pub fn free_tcp(&self) -> io::Result<SocketAddr> {
        self.fresh(|any| TcpListener::bind(any)?.local_addr())
    }

    /// A port for UDP that no process of the fleet has yet.
    pub fn free_udp(&self) -> io::Result<SocketAddr> {
        self.fresh(|any| UdpSocket::bind(any)?.local_addr())
    }

    fn fresh(
        &self,
        bind: impl Fn(SocketAddr) -> io::Result<SocketAddr>,
    ) -> io::Result<SocketAddr> {
        let mut given = self.given.lock().expect("port lock");
        loop {
            let address = bind(SocketAddr::new(self.processes, 0))?;
            if given.insert(address.port()) {
                return Ok(address);
            }
        }
    }
}
