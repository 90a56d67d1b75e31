use std::{
    collections::HashSet,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::{
        Mutex,
        atomic::{AtomicU8, Ordering},
    },
};

/// Last byte of the next fleet's addresses.
static NEXT_NUMBER: AtomicU8 = AtomicU8::new(0);

/// The two loopback IP addresses of a fleet: one on which stand-ins and proxies bind
/// any free port, and one for the fleet's processes, whose ports must be known before
/// they start. The addresses differ from each other and from the source address of
/// outgoing connections, so that nothing else takes a port between the time it is found
/// free and the time a process binds it.
pub struct Loopback {
    pub standin_ip: IpAddr,
    processes: IpAddr,
    given: Mutex<HashSet<u16>>, // ports already handed out
}

impl Default for Loopback {
    fn default() -> Self {
        Self::new()
    }
}

impl Loopback {
    /// Addresses derived from the process id and a counter, so that fleets that run at
    /// the same time do not share them.
    pub fn new() -> Self {
        let process = std::process::id();
        let number = NEXT_NUMBER.fetch_add(2, Ordering::SeqCst);
        let (high, low) = ((1 + (process >> 8) % 250) as u8, (process % 256) as u8);
        let address = |last| IpAddr::V4(Ipv4Addr::new(127, high, low, last));
        Self {
            standin_ip: address(number + 1),
            processes: address(number + 2),
            given: Mutex::default(),
        }
    }

    /// A free TCP port that was not handed out before, with the processes' IP address.
    pub fn free_tcp(&self) -> io::Result<SocketAddr> {
        self.unused_port(|any| TcpListener::bind(any)?.local_addr())
    }

    /// A free UDP port that was not handed out before, with the processes' IP address.
    pub fn free_udp(&self) -> io::Result<SocketAddr> {
        self.unused_port(|any| UdpSocket::bind(any)?.local_addr())
    }

    fn unused_port(
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
