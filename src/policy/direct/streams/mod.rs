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
mod origin_table;
mod software_version;
mod stream_key;
mod stream_origin;

pub use {
    origin_finding::OriginFinding,
    origin_homes::{OriginHomes, RouterProcess, ZoneContacts},
    origin_queries::{OriginQueries, QueryId},
    origin_query::{OriginQuery, QueryGroup, QueryStage},
    origin_table::OriginTable,
    software_version::SoftwareVersion,
    stream_key::StreamKey,
    stream_origin::StreamOrigin,
};
