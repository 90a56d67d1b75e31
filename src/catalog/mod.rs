//! The catalog of a process: the operator's configuration, the list of upstreams and the
//! cordoned zones, read from the platform's store or received from peers. Each part has a
//! version and never returns to an older one, also when the store comes back from a copy: see
//! [`StoreRevision`].

mod accepted_config;
mod carried_entries;
mod carried_entry;
mod catalog;
mod catalog_change;
mod catalog_source;
mod config_origin;
mod cordon;
mod cordon_list;
mod cordon_snapshot;
mod follow_store;
mod lapse_grace;
mod reader_role;
mod store_revision;
mod upstream_entry;
mod upstream_list;
mod upstream_list_carry;
mod upstream_origin;
mod upstream_record;
mod upstream_state;
mod upstream_update;
mod watch_pacing;
mod watch_timing;

pub use {
    accepted_config::AcceptedConfig,
    carried_entry::{CarriedCordon, CarriedEntry},
    catalog::{Catalog, CatalogVersion},
    catalog_change::{CatalogChange, CatalogItem},
    catalog_source::CatalogSource,
    config_origin::ConfigOrigin,
    cordon::Cordon,
    cordon_list::{CordonChange, CordonList},
    cordon_snapshot::CordonSnapshot,
    follow_store::follow_store,
    reader_role::{AlwaysReader, ReaderRole},
    store_revision::{StoreRevision, begins_era, counter_of, era_of},
    upstream_entry::UpstreamEntry,
    upstream_list::ParseUpstream,
    upstream_origin::UpstreamOrigin,
    upstream_record::UpstreamRecord,
    upstream_state::UpstreamState,
    upstream_update::UpstreamUpdate,
    watch_pacing::WatchPacing,
    watch_timing::WatchTiming,
};
