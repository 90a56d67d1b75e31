//! Reads collected logs, and shows their lines as a table.

use {
    super::{CtlError, output::table},
    crate::codes::ResultCode,
    serde_json::{Map, Value},
};

/// The fields of one line, by name.
pub type LogLine = Map<String, Value>;

/// Fields that are not shown in the last column: they have a column of their own, or say nothing
/// about the event.
const NOT_LISTED: &[&str] = &[
    "unix_ms",
    "host",
    "message",
    "request_id",
    "level",
    "target",
    "code",
];

/// Reads the lines of these files whose text `wanted` accepts. Anything before the JSON in a line
/// is skipped, and so are lines without JSON. Fails with `ResultCode::SettingsFileMissing` (10).
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

/// When a line was logged, in milliseconds of Unix time; `None` if it has no time.
pub fn logged_at(line: &LogLine) -> Option<u64> {
    line.get("unix_ms").and_then(Value::as_u64)
}

/// Formats the lines as a table.
pub fn line_table(lines: &[LogLine]) -> String {
    let head = ["unix ms", "host", "what", "code", "with"];
    table(&head, lines.iter().map(row))
}

fn parse(line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn row(line: &LogLine) -> Vec<String> {
    let other_fields: Vec<String> = line
        .iter()
        .filter(|(name, _)| !NOT_LISTED.contains(&name.as_str()))
        .map(|(name, value)| format!("{name}={}", text(Some(value))))
        .filter(|pair| !pair.ends_with('='))
        .collect();
    vec![
        text(line.get("unix_ms")),
        text(line.get("host")),
        text(line.get("message")),
        text(line.get("code")),
        other_fields.join(" "),
    ]
}

fn text(value: Option<&Value>) -> String {
    match value {
        None => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}
