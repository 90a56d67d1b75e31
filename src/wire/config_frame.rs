use {
    crate::fleet::{HostList, Revision},
    serde::{Deserialize, Serialize},
};

/// One frame of a configuration and host list that are sent to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigFrame {
    Root { revision: Revision, text: String },
    Part { digest: String, text: String },
    Hosts { revision: Revision, hosts: HostList },
    End,
}
