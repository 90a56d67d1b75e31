use std::{collections::HashMap, sync::Arc};

/// A short number for a router's host, for the life of this process.
pub type RouterKey = u32;

/// Numbers the routers that have been connected.
#[derive(Default)]
pub struct RouterKeys {
    by_host: HashMap<Arc<str>, RouterKey>,
    hosts: Vec<Arc<str>>, // by number
}

impl RouterKeys {
    /// The number of a host, a new one if it has none.
    pub fn key(
        &mut self,
        host: &Arc<str>,
    ) -> RouterKey {
        if let Some(key) = self.by_host.get(host) {
            return *key;
        }
        let key = self.hosts.len() as RouterKey;
        self.hosts.push(host.clone());
        self.by_host.insert(host.clone(), key);
        key
    }

    /// The host with a number.
    pub fn host(
        &self,
        key: RouterKey,
    ) -> Arc<str> {
        self.hosts[key as usize].clone()
    }
}
