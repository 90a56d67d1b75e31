use std::{collections::HashMap, sync::Arc};

/// Identifies a router's host within this process.
pub type RouterNumber = u32;

/// Assigns a number to each router host that has connected.
#[derive(Default)]
pub struct RouterNumbers {
    by_host: HashMap<Arc<str>, RouterNumber>,
    hosts: Vec<Arc<str>>, // indexed by number
}

impl RouterNumbers {
    /// The number of a host, assigned at the first call.
    pub fn number_of(
        &mut self,
        host: &Arc<str>,
    ) -> RouterNumber {
        if let Some(number) = self.by_host.get(host) {
            return *number;
        }
        let number = self.hosts.len() as RouterNumber;
        self.hosts.push(host.clone());
        self.by_host.insert(host.clone(), number);
        number
    }

    /// The host with this number.
    pub fn host(
        &self,
        number: RouterNumber,
    ) -> Arc<str> {
        self.hosts[number as usize].clone()
    }
}
