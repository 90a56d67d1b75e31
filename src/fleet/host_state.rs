use serde::{Deserialize, Serialize};

/// What the platform says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    Live,
    Leaving,
}
