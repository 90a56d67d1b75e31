use {
    crate::fleet::{HostList, Revision},
    serde::{Deserialize, Serialize},
};

/// One frame of the answer to a peer that fetches the configuration and the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigFrame {
    /// The published configuration, or a manifest that lists its parts by digest.
    Root { revision: Revision, text: String },
    /// One part of the configuration, with its SHA-256 digest in hexadecimal.
    Part { digest: String, text: String },
    /// The host list.
    Hosts { revision: Revision, hosts: HostList },
    /// All frames are sent.
    End,
}
