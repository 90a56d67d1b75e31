use serde::{Deserialize, Serialize};

/// The state of a host in the platform's host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    Live,
    Leaving,
}
