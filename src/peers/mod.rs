//! What routers tell each other: what each has at which replica, what accounts
//! got, which configuration is in force, and who else there is.
//!
//! Availability zones are cells. Every router reports to those of its own zone.
//! Between two zones one router of each, drawn by hash among those that its zone
//! hears of, tells the other zone's the sum of its own; the router that gets a sum
//! hands it to its fellows. So what a router sends and hears grows with its zone,
//! and what passes between zones with the square of their number.
//!
//! Reports and sums go by datagrams, since QUIC for each takes more processor than small
//! hosts have to spare; a report may be lost, since the next one says the same. News of the
//! catalog go over QUIC when a router is behind, encrypted with certificates that each
//! process makes for itself at its start; reports are not. Since hosts are given no keys, a
//! peer is known by its address alone: a stranger who can send from inside the network from
//! such an address is not kept out.

mod ask_names;
mod ask_news;
mod behind;
mod catalog_news;
mod catch_up;
mod evidence_told;
mod evidence_turn;
mod figures;
mod kept_told;
mod leaving_told;
mod listen;
mod named_router;
mod news_port;
mod own_certificate;
mod peer_entry;
mod peer_link;
mod peer_message;
mod peer_table;
mod router_report;
mod suspects_told;
mod tell;
mod tell_evidence;
mod tell_kept;
mod tell_leaving;
mod tell_suspects;
mod told_reports;
mod zone_duties;
mod zone_sum;
mod zone_table;

pub use {
    behind::Behind,
    catalog_news::CatalogNews,
    evidence_told::EvidenceTold,
    evidence_turn::EvidenceTurn,
    figures::Figures,
    kept_told::KeptTold,
    leaving_told::LeavingTold,
    named_router::NamedRouter,
    peer_link::{PeerLink, SILENCE},
    peer_message::PeerMessage,
    peer_table::PeerTable,
    router_report::RouterReport,
    suspects_told::SuspectsTold,
    told_reports::ToldReports,
    zone_sum::ZoneSum,
    zone_table::ZoneTable,
};
