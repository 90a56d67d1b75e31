use {
    super::StreamOrigin,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// A router to which records are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OriginReceiver {
    pub address: SocketAddr,
    pub for_zone: bool, // in another zone, where it passes them on to their homes
}

/// Records by receiver.
pub type OriginBatches = BTreeMap<OriginReceiver, Vec<StreamOrigin>>;
