//! Proxies that break what passes through them.

mod faults;
mod tcp_proxy;
mod udp_proxy;

pub use {faults::Faults, tcp_proxy::TcpProxy, udp_proxy::UdpProxy};
