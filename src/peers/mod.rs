//! What routers tell each other: what each has at which replica, what accounts
//! got, which configuration is in force, and who else there is.
//!
//! Every router tells every other over QUIC. Connections are encrypted with
//! certificates that each process makes for itself at its start; since the
//! hosts are given no keys, a peer is known by its address alone. That keeps
//! listeners out, not a stranger who can send from inside the network.

mod catalog_news;
mod own_certificate;
mod peer_dial;
mod peer_link;
mod peer_table;
mod router_state;

pub use {
    catalog_news::CatalogNews, peer_link::PeerLink, peer_table::PeerTable,
    router_state::RouterState,
};
