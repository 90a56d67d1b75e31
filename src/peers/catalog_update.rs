use {
    crate::catalog::UpstreamUpdate,
    serde::{Deserialize, Serialize},
};

/// Answer to a peer whose catalog is older: the configuration and the upstream records that
/// it lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogUpdate {
    pub config: Option<String>, // full text, if newer than the peer's
    pub upstreams: UpstreamUpdate,
}
