//! Adapter to the platform: translates the header names, data formats and calls of its store
//! and replicas into this project's own types. It makes no decisions, and the platform's names
//! are used nowhere else.

mod cache_json;
mod config_json;
mod dialect;
mod health_headers;
mod notice_headers;
mod prompt_headers;
mod replica_json;
mod store_client;
mod store_json;

pub use {
    config_json::parse_config, dialect::dialect, health_headers::read_slow_start,
    notice_headers::read_notice, replica_json::parse_replica, store_client::StoreClient,
};
