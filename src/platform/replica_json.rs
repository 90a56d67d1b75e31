use {
    crate::{
        catalog::{UpstreamEntry, UpstreamState},
        codes::{Fault, ResultCode},
    },
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// A replica's entry as the platform's store holds it. Every replica writes all of these;
/// where one is missing or of another type, another writer did.
#[derive(Deserialize)]
struct ReplicaJson {
    service: String,
    address: SocketAddr,
    zone: String,
    born: Option<u64>, // missing where replicas never start again under their ids
    #[serde(rename = "version")]
    _version: String,
    slots: u32,
    state: String,
    cold_remaining_ms: f64,
    #[serde(rename = "sequence")]
    _sequence: u64,
}

/// The longest id of a replica, in bytes; those seen have 12.
const LONGEST_ID: usize = 128;

/// The longest that a replica is believed to be slow after its start.
const LONGEST_START: Duration = Duration::from_secs(3600);

/// Reads a replica's entry: code 82.
pub fn parse_replica(
    id: &str,
    text: &str,
) -> Result<UpstreamEntry, Fault> {
    let refused = |detail: String| Fault::new(ResultCode::PlatformReply, detail);
    let is_id = (1..=LONGEST_ID).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic());
    if !is_id {
        return Err(refused("a key that is no replica's id".to_owned()));
    }
    let entry: ReplicaJson =
        serde_json::from_str(text).map_err(|error| refused(error.to_string()))?;
    let ip = entry.address.ip();
    if entry.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err(refused(format!(
            "{} is no replica's address",
            entry.address
        )));
    }
    let state = match entry.state.as_str() {
        "ready" => UpstreamState::Ready,
        "draining" => UpstreamState::Draining,
        other => return Err(refused(format!("state {other:?}"))),
    };
    Ok(UpstreamEntry {
        id: id.into(),
        born: entry.born,
        service: entry.service.into(),
        address: entry.address,
        zone: entry.zone.into(),
        slots: entry.slots,
        state,
        slow_for: Duration::try_from_secs_f64(entry.cold_remaining_ms / 1000.0)
            .unwrap_or_default()
            .min(LONGEST_START),
    })
}
