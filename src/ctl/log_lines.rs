//! Lines of collected logs: reading them, and showing them to people.

use {
    super::{CtlError, output::table},
    crate::codes::ResultCode,
    serde_json::{Map, Value},
};

/// One line, by the names of its fields.
pub type LogLine = Map<String, Value>;

/// Fields that have a column of their own, or say nothing of what happened.
const OWN_COLUMNS: &[&str] = &[
    "unix_ms",
    "host",
    "message",
    "request_id",
    "level",
    "target",
    "code",
];

/// The lines of these files that `wanted` picks by their text, and that are JSON: code
/// 10. They may have something before the JSON.
pub fn read_lines(
    files: &[String],
    wanted: impl Fn(&str) -> bool,
) -> Result<Vec<LogLine>, CtlError> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|error| {
            CtlError::new(ResultCode::SettingsFileMissing, format!("{file}: {error}"))
        })?;
        let picked = text.lines().filter(|line| wanted(line));
        lines.extend(picked.filter_map(parse));
    }
    Ok(lines)
}

/// When a line was written, in milliseconds of the unix clock; none if it does not say.
pub fn written(line: &LogLine) -> Option<u64> {
    line.get("unix_ms").and_then(Value::as_u64)
}

/// The lines as a table.
pub fn line_table(lines: &[LogLine]) -> String {
    let head = ["unix ms", "host", "what", "code", "with"];
    table(&head, lines.iter().map(row))
}

fn parse(line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn row(line: &LogLine) -> Vec<String> {
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

fn text(value: Option<&Value>) -> String {
    match value {
        None => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}
