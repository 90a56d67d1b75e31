use {
    crate::policy::streams::{OriginFinding, StreamKey},
    serde::{Deserialize, Serialize},
};

/// Datagram that answers a query for the software version at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamAnswerMessage {
    pub key: StreamKey,
    pub finding: OriginFinding,
    pub passed_on: u8, // routers to which the query was passed on, which answer as well
}
