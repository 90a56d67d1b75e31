use {
    super::{
        CtlError,
        fleet_reader::FleetReader,
        output::{json, table},
    },
    crate::ops::ProcessStatus,
    std::collections::BTreeMap,
};

/// A table of all processes, and the cordoned zones.
pub async fn status(
    reader: &FleetReader,
    as_json: bool,
) -> Result<String, CtlError> {
    let mut statuses = reader.statuses().await;
    statuses.sort_by(|a, b| (a.role, &a.host).cmp(&(b.role, &b.host)));
    if as_json {
        return Ok(json(&statuses));
    }
    let head = [
        "host",
        "role",
        "zone",
        "version",
        "revision",
        "ready",
        "up",
        "peers",
        "waiting",
        "running",
        "slots",
        "used",
        "control B/s",
    ];
    Ok(table(&head, statuses.iter().map(row)) + &cordons(&statuses))
}

/// A line for each cordoned zone, with the number of processes that report it.
fn cordons(statuses: &[ProcessStatus]) -> String {
    let mut reporting: BTreeMap<&str, usize> = BTreeMap::new();
    for zone in statuses.iter().flat_map(|status| &status.cordoned) {
        *reporting.entry(zone).or_default() += 1;
    }
    let lines = reporting.iter().map(|(zone, count)| {
        format!("zone {zone} is cordoned: it gets no new work (known to {count} processes)\n")
    });
    lines.collect()
}

fn row(status: &ProcessStatus) -> Vec<String> {
    let seconds = status.uptime_ms as f64 / 1000.0;
    let control: u64 = status.control_bytes.values().sum();
    vec![
        status.host.clone(),
        status.role.to_string(),
        status.zone.clone(),
        status.version.clone(),
        status.revision.map_or("none".to_owned(), |r| r.to_string()),
        ready(status).to_owned(),
        format!("{seconds:.0} s"),
        status.peers.len().to_string(),
        status.waiting.to_string(),
        status.running.to_string(),
        status.slots.to_string(),
        utilisation(status),
        format!("{:.0}", control as f64 / seconds.max(0.001)),
    ]
}

fn ready(status: &ProcessStatus) -> &'static str {
    match (status.leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "yes",
        (false, false) => "no",
    }
}

/// Fraction of the slots' time that was used while requests waited; of all time if none waited.
fn utilisation(status: &ProcessStatus) -> String {
    if status.slots == 0 {
        return String::new();
    }
    let (busy, time) = if status.contended_ms > 0 {
        (status.contended_busy_slot_ms, status.contended_ms)
    } else {
        (status.busy_slot_ms, status.uptime_ms.max(1))
    };
    format!(
        "{:.3}",
        busy as f64 / (time * u64::from(status.slots)) as f64
    )
}
