use {
    crate::{
        catalog::{UpstreamEntry, UpstreamState},
        codes::{Fault, ResultCode},
    },
    serde::Deserialize,
};

/// A replica's entry as the platform's store holds it.
#[derive(Deserialize)]
struct ReplicaJson {
    service: String,
    address: std::net::SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default = "one")]
    slots: u32,
    state: String,
}

fn one() -> u32 {
    1
}

/// Reads a replica's entry: code 82.
pub fn parse_replica(
    id: &str,
    text: &str,
) -> Result<UpstreamEntry, Fault> {
    let entry: ReplicaJson =
        serde_json::from_str(text).map_err(|error| Fault::new(ResultCode::PlatformReply, error))?;
    Ok(UpstreamEntry {
        id: id.into(),
        service: entry.service.into(),
        address: entry.address,
        zone: entry.zone.into(),
        slots: entry.slots,
        state: match entry.state.as_str() {
            "ready" => UpstreamState::Ready,
            _ => UpstreamState::Draining,
        },
    })
}
