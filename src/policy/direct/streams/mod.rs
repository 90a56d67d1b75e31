//! Software versions of the replicas at which streams began. A stream goes on only at the version
//! that began it, also when its caller takes it up at another router.
//!
//! The origin of a stream is known once its first event has been read and never changes, so that
//! records of it may be merged in any order and more than once. Some routers keep each record;
//! every router derives which ones from the key of the stream.

mod origin_finding;
mod origin_homes;
mod origin_queries;
mod origin_query;
mod origin_receiver;
mod origin_records;
mod origin_table;
mod query_group;
mod query_id;
mod router_process;
mod software_version;
mod stream_key;
mod stream_origin;
mod zone_contacts;

pub use {
    origin_finding::OriginFinding,
    origin_homes::OriginHomes,
    origin_queries::OriginQueries,
    origin_query::OriginQuery,
    origin_receiver::{OriginBatches, OriginReceiver},
    origin_records::OriginRecords,
    origin_table::OriginTable,
    query_group::QueryGroup,
    query_id::QueryId,
    router_process::RouterProcess,
    software_version::SoftwareVersion,
    stream_key::StreamKey,
    stream_origin::StreamOrigin,
    zone_contacts::ZoneContacts,
};
