use {
    super::{
        CtlError,
        fleet_reader::FleetReader,
        output::{json, table},
    },
    crate::ops::{HeldStatus, ProcessStatus},
    serde::Serialize,
    std::collections::BTreeMap,
};

/// A request or part of prompts that is held back, and the routers that hold it back.
#[derive(Debug, Serialize)]
struct HeldBack {
    #[serde(flatten)]
    held: HeldStatus, // from the router that knows of the most crashes
    routers: Vec<String>,
}

/// The requests and parts of prompts that routers hold back, since replicas crashed while they ran them.
pub async fn held(
    reader: &FleetReader,
    as_json: bool,
) -> Result<String, CtlError> {
    let held = merge(reader.statuses().await);
    if as_json {
        return Ok(json(&held));
    }
    let head = [
        "digest",
        "what",
        "account",
        "ended",
        "last",
        "left",
        "held back by",
    ];
    let rows = held.iter().map(|HeldBack { held, routers }| {
        vec![
            held.request.clone(),
            held.kind.clone(),
            held.account.clone(),
            held.ends.to_string(),
            format!("{} s ago", held.since_ms / 1000),
            format!("{} s", held.left_ms / 1000),
            routers.join(" "),
        ]
    });
    Ok(table(&head, rows))
}

fn merge(statuses: Vec<ProcessStatus>) -> Vec<HeldBack> {
    let mut by_request: BTreeMap<String, HeldBack> = BTreeMap::new();
    for status in statuses {
        for held in status.held {
            let known = by_request.entry(held.request.clone());
            let known = known.or_insert_with(|| HeldBack {
                held: held.clone(),
                routers: Vec::new(),
            });
            known.routers.push(status.host.clone());
            if held.ends > known.held.ends {
                known.held = held;
            }
        }
    }
    by_request.into_values().collect()
}
