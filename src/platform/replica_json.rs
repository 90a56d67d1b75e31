use {
    crate::{
        catalog::{UpstreamEntry, UpstreamState},
        codes::{Fault, ResultCode},
    },
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// A replica's entry in the JSON form of the platform's store. Replicas write all of these
/// fields, so an entry that lacks one or has another type is not a replica's.
#[derive(Deserialize)]
struct ReplicaJson {
    service: String,
    address: SocketAddr,
    zone: String,
    born: Option<u64>, // start time in Unix ms; missing where replicas never reuse their ids
    version: String,   // of the software
    slots: u32,
    state: String,
    cold_remaining_ms: f64,
    #[serde(rename = "sequence")]
    _sequence: u64,
}

/// Limit on the length of a replica's id, in bytes. Ids have 12 in practice.
const MAX_ID_BYTES: usize = 128;

/// Upper bound of the remaining slow start that an entry may state.
const MAX_SLOW_START: Duration = Duration::from_secs(3600);

/// Parses a replica's entry. Fails with `PlatformReply`.
pub fn parse_replica(
    id: &str,
    text: &str,
) -> Result<UpstreamEntry, Fault> {
    let refused = |detail: String| Fault::new(ResultCode::PlatformReply, detail);
    let is_id = (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic());
    if !is_id {
        return Err(refused("the key is not a valid replica id".to_owned()));
    }
    let entry: ReplicaJson =
        serde_json::from_str(text).map_err(|error| refused(error.to_string()))?;
    let ip = entry.address.ip();
    if entry.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err(refused(format!(
            "{} cannot be a replica's address",
            entry.address
        )));
    }
    let state = match entry.state.as_str() {
        "ready" => UpstreamState::Ready,
        "draining" => UpstreamState::Draining,
        other => return Err(refused(format!("unknown state {other:?}"))),
    };
    Ok(UpstreamEntry {
        id: id.into(),
        started_unix_ms: entry.born,
        service: entry.service.into(),
        version: entry.version.into(),
        address: entry.address,
        zone: entry.zone.into(),
        slots: entry.slots,
        state,
        slow_start_remaining: slow_start_time(entry.cold_remaining_ms),
    })
}

/// The remaining time of a slow start, stated in milliseconds. What is no time counts as zero.
pub fn slow_start_time(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1000.0)
        .unwrap_or_default()
        .min(MAX_SLOW_START)
}
