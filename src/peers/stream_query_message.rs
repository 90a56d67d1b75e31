use {
    crate::policy::streams::StreamKey,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Datagram that asks for the software version at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQueryMessage {
    pub key: StreamKey,
    pub scope: QueryScope,
}

/// On whose behalf the receiver of a query answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueryScope {
    /// Its own, to the sender.
    Router,
    /// Its zone's, to the sender: it passes the query on to the homes of the stream there.
    Zone,
    /// Its own, to the router in another zone from which the sender got the query.
    PassedOn(SocketAddr),
}
