//! Client of the platform's service, which publishes the configuration and the host list of the
//! granted form.
//!
//! `docs/PLATFORM-PROTOCOL.md` states the protocol.

mod platform_client;
mod watched_value;

pub use {platform_client::PlatformClient, watched_value::WatchedValue};

/// The key of the configuration's value.
pub const FLEET_KEY: &str = "fleet";

/// The key of the host list's value.
pub const HOSTS_KEY: &str = "hosts";

/// The header with the revision of a value.
pub const REVISION_HEADER: &str = "x-revision";
