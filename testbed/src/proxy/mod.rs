//! TCP and UDP proxies that inject network faults.

mod faults;
mod tcp_proxy;
mod udp_proxy;

pub use {faults::Faults, tcp_proxy::TcpProxy, udp_proxy::UdpProxy};
