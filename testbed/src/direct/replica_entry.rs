use {
    super::replica::DEFAULT_VERSION,
    serde_json::{Value, json},
    std::net::SocketAddr,
};

/// The entry of a replica in the platform's store.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaEntry<'e> {
    pub zone: &'e str,
    pub id: &'e str,
    pub service: &'e str,
    pub address: SocketAddr,
    pub version: &'e str, // of its software
    pub state: &'e str,
    pub slow_ms: u64, // remaining slow start
}

impl<'e> ReplicaEntry<'e> {
    /// The entry of a ready replica without a slow start, of the default software version.
    pub fn new(
        zone: &'e str,
        id: &'e str,
        service: &'e str,
        address: SocketAddr,
    ) -> Self {
        Self {
            zone,
            id,
            service,
            address,
            version: DEFAULT_VERSION,
            state: "ready",
            slow_ms: 0,
        }
    }

    /// The JSON document that the store holds.
    pub fn to_json(&self) -> Value {
        json!({
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": 8, "state": self.state,
            "cold_remaining_ms": self.slow_ms, "sequence": 1,
        })
    }
}
