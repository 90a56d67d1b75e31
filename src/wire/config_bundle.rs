use {
    crate::fleet::{HostList, Revision},
    serde::{Deserialize, Serialize},
};

/// A configuration and host list handed to a peer, a piece a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigBundle {
    Root { revision: Revision, text: String },
    Part { digest: String, text: String },
    Hosts { revision: Revision, hosts: HostList },
    End,
}
