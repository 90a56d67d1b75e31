use {
    super::{
        CtlError,
        fleet_reader::FleetReader,
        output::{json, table},
    },
    crate::{codes::ResultCode, fleet::Revision, ops::AuditEntry},
    getopts::Matches,
};

/// The audit trails of all processes, merged by time, with `--revision` only the entries about that
/// revision.
pub async fn audit(
    reader: &FleetReader,
    matches: &Matches,
    as_json: bool,
) -> Result<String, CtlError> {
    let mut entries = reader.audits().await;
    if let Some(number) = matches.opt_str("revision") {
        let number = number
            .parse()
            .map_err(|_| CtlError::usage("--revision takes a number"))?;
        entries.retain(|entry| entry.revision == Some(Revision(number)));
        if entries.is_empty() {
            let detail = format!("no process knows revision {number}");
            return Err(CtlError::new(ResultCode::NothingFound, detail));
        }
    }
    entries.sort_by(|a, b| (a.unix_ms, &a.host).cmp(&(b.unix_ms, &b.host)));
    if as_json {
        return Ok(json(&entries));
    }
    let head = ["unix ms", "host", "revision", "what", "code", "detail"];
    Ok(table(&head, entries.iter().map(row)))
}

fn row(entry: &AuditEntry) -> Vec<String> {
    vec![
        entry.unix_ms.to_string(),
        entry.host.clone(),
        entry.revision.map_or(String::new(), |r| r.to_string()),
        entry.what.clone(),
        entry.code.map_or(String::new(), |code| code.to_string()),
        entry.detail.clone(),
    ]
}
