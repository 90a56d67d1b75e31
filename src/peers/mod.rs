//! Gossip between routers: the load that each has placed on each replica, the service that
//! accounts got, the version of the configuration, and the membership of the fleet.
//!
//! Every router sends reports to all routers of its own availability zone. Between two zones
//! one representative of each, chosen by hash among the live routers of its zone, sends a
//! summary of its zone to the other one's representative, which relays it within its own zone.
//! The traffic of a router therefore grows with the size of its zone, and the traffic between
//! zones with the square of their number.
//!
//! Reports and summaries are UDP datagrams, because QUIC connections between all routers take
//! more processor time than small hosts have to spare. A lost datagram does no harm, since
//! the next one carries the same state. A router whose catalog is out of date fetches updates
//! over QUIC, encrypted with a self-signed certificate that each process generates at start.
//! Datagrams are not encrypted. Hosts hold no keys, so a peer is identified by its address
//! alone: an attacker inside the network who can send from a peer's address is not kept out.

mod cache_events_gossip;
mod cache_events_message;
mod catalog_update;
mod catch_up;
mod catch_up_timer;
mod discovery;
mod eras_gossip;
mod eras_message;
mod evidence_gossip;
mod evidence_message;
mod evidence_schedule;
mod fetch_update;
mod knows_eras;
mod leaving_gossip;
mod leaving_message;
mod peer_entry;
mod peer_link;
mod peer_message;
mod peer_table;
mod receive;
mod report_body;
mod router_contact;
mod router_report;
mod self_signed_certificate;
mod send_reports;
mod sent_reports;
mod stream_answer_message;
mod stream_origin_search;
mod stream_origins;
mod stream_origins_gossip;
mod stream_origins_message;
mod stream_query_message;
mod suspect_trials_gossip;
mod suspect_trials_message;
mod suspects_gossip;
mod suspects_message;
mod update_server;
mod zone_roles;
mod zone_summary;
mod zone_table;

pub use {
    cache_events_message::CacheEventsMessage,
    catalog_update::CatalogUpdate,
    catch_up_timer::CatchUpTimer,
    eras_message::ErasMessage,
    evidence_message::EvidenceMessage,
    evidence_schedule::EvidenceSchedule,
    knows_eras::KnowsEras,
    leaving_message::LeavingMessage,
    peer_link::{PEER_SILENCE_LIMIT, PeerLink},
    peer_message::PeerMessage,
    peer_table::PeerTable,
    report_body::ReportBody,
    router_contact::RouterContact,
    router_report::RouterReport,
    sent_reports::SentReports,
    stream_answer_message::StreamAnswerMessage,
    stream_origin_search::find_stream_origin,
    stream_origins::StreamOrigins,
    stream_origins_message::StreamOriginsMessage,
    stream_query_message::{QueryScope, StreamQueryMessage},
    suspect_trials_message::SuspectTrialsMessage,
    suspects_message::SuspectsMessage,
    zone_summary::ZoneSummary,
    zone_table::ZoneTable,
};
