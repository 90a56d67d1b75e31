use {
    crate::catalog::UpstreamNews,
    serde::{Deserialize, Serialize},
};

/// What a peer lacks of the configuration and the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogNews {
    pub config: Option<String>, // the whole text, if newer
    pub upstreams: UpstreamNews,
}
