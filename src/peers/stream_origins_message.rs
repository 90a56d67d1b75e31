use {
    crate::policy::streams::StreamOrigin,
    serde::{Deserialize, Serialize},
};

/// Datagram with software versions at which streams began, to a router that keeps them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginsMessage {
    pub for_zone: bool, // from another zone: to be passed on to their home in the receiver's zone
    pub origins: Vec<StreamOrigin>,
}
