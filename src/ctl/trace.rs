use {
    super::{
        CtlError,
        output::{json, table},
    },
    crate::codes::ResultCode,
    serde_json::{Map, Value},
};

/// Fields that have a column of their own, or say nothing of the request.
const OWN_COLUMNS: &[&str] = &[
    "unix_ms",
    "host",
    "message",
    "request_id",
    "level",
    "target",
    "code",
];

/// What collected logs say of one request: its lines from every process, by
/// time, and what their codes mean. Lines may have something before the JSON.
pub fn trace(
    words: &[String],
    as_json: bool,
) -> Result<String, CtlError> {
    let Some((id, files)) = words.split_first().filter(|(_, files)| !files.is_empty()) else {
        return Err(CtlError::usage("trace takes a request's id and log files"));
    };
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|error| {
            CtlError::new(ResultCode::SettingsFileMissing, format!("{file}: {error}"))
        })?;
        lines.extend(
            text.lines()
                .filter(|line| line.contains(id.as_str()))
                .filter_map(parse),
        );
    }
    lines.retain(|line| line.get("request_id").and_then(Value::as_str) == Some(id));
    if lines.is_empty() {
        let detail = format!("no line about {id} in {} files", files.len());
        return Err(CtlError::new(ResultCode::NothingFound, detail));
    }
    lines.sort_by_key(|line| line.get("unix_ms").and_then(Value::as_u64));
    if as_json {
        return Ok(json(&lines));
    }
    let head = ["unix ms", "host", "what", "code", "with"];
    let rows = table(&head, lines.iter().map(row));
    Ok(rows + &meanings(&lines))
}

fn parse(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn text(value: Option<&Value>) -> String {
    match value {
        None => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

fn row(line: &Map<String, Value>) -> Vec<String> {
    let with: Vec<String> = line
        .iter()
        .filter(|(name, _)| !OWN_COLUMNS.contains(&name.as_str()))
        .map(|(name, value)| format!("{name}={}", text(Some(value))))
        .filter(|pair| !pair.ends_with('='))
        .collect();
    vec![
        text(line.get("unix_ms")),
        text(line.get("host")),
        text(line.get("message")),
        text(line.get("code")),
        with.join(" "),
    ]
}

/// What the codes in these lines mean, each once.
fn meanings(lines: &[Map<String, Value>]) -> String {
    let mut codes: Vec<u64> = lines
        .iter()
        .filter_map(|line| line.get("code")?.as_u64())
        .collect();
    codes.sort_unstable();
    codes.dedup();
    codes
        .into_iter()
        .filter_map(|number| ResultCode::from_number(u8::try_from(number).ok()?))
        .map(|code| format!("code {}: {}\n", code.number(), code.meaning()))
        .collect()
}
