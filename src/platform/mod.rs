//! The users' machines: names, formats and calls of their platform, translated
//! into the product's own. Nothing in here decides anything, and nothing
//! outside knows these names.

mod cache_json;
mod config_json;
mod dialect;
mod notice_headers;
mod prompt_headers;
mod replica_json;
mod store_client;
mod store_json;

pub use {
    config_json::parse_config, dialect::dialect, notice_headers::read_notice,
    replica_json::parse_replica, store_client::StoreClient,
};
