//! What routers tell each other: what each has at which replica, what accounts
//! got, which configuration is in force, and who else there is.
//!
//! Reports go by datagrams to every router known, news of the catalog over QUIC
//! when a router is behind. QUIC for the reports too cost 0.033 of a core at 20
//! routers, where hosts have 0.09; a report may be lost, since the next one
//! says the same. News are encrypted with certificates that each process makes
//! for itself at its start; reports are not. Since hosts are given no keys, a
//! peer is known by its address alone: a stranger who can send from inside the
//! network from such an address is not kept out.

mod ask_news;
mod catalog_news;
mod news_port;
mod own_certificate;
mod peer_link;
mod peer_table;
mod router_report;
mod told_reports;

pub use {
    catalog_news::CatalogNews, peer_link::PeerLink, peer_table::PeerTable,
    router_report::RouterReport, told_reports::ToldReports,
};
