use {
    super::{HostEntry, HostRole, HostState},
    serde::{Deserialize, Serialize},
};

/// The platform's list of live and leaving hosts. It lags behind the state of the hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    pub hosts: Vec<HostEntry>,
}

impl HostList {
    /// The host with this name.
    pub fn find(
        &self,
        name: &str,
    ) -> Option<&HostEntry> {
        self.hosts.iter().find(|host| host.name == name)
    }

    /// The hosts of a role that are not leaving.
    pub fn live(
        &self,
        role: HostRole,
    ) -> impl Iterator<Item = &HostEntry> {
        self.hosts
            .iter()
            .filter(move |host| host.role == role && host.state == HostState::Live)
    }
}
