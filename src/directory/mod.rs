//! The platform's service, which can only be read and watched.
//!
//! `docs/PLATFORM-PROTOCOL.md` states the protocol.

mod platform_client;
mod watched;

pub use {platform_client::PlatformClient, watched::Watched};

/// The key of the configuration.
pub const FLEET_KEY: &str = "fleet";

/// The key of the host list.
pub const HOSTS_KEY: &str = "hosts";

/// The header that carries a value's revision.
pub const REVISION_HEADER: &str = "x-revision";
