use {
    super::{
        CtlError,
        log_lines::{LogLine, line_table, logged_at, read_lines},
        output::json,
    },
    crate::codes::ResultCode,
    serde_json::Value,
};

/// Shows the lines of collected logs about one request, of all processes, by time, and explains
/// their result codes.
pub fn trace(
    arguments: &[String],
    as_json: bool,
) -> Result<String, CtlError> {
    let Some((id, files)) = arguments
        .split_first()
        .filter(|(_, files)| !files.is_empty())
    else {
        return Err(CtlError::usage("trace takes a request's id and log files"));
    };
    let mut lines = read_lines(files, |line| line.contains(id.as_str()))?;
    lines.retain(|line| line.get("request_id").and_then(Value::as_str) == Some(id));
    if lines.is_empty() {
        let detail = format!("no line about {id} in {} files", files.len());
        return Err(CtlError::new(ResultCode::NothingFound, detail));
    }
    lines.sort_by_key(logged_at);
    if as_json {
        return Ok(json(&lines));
    }
    Ok(line_table(&lines) + &explain_codes(&lines))
}

/// Explains the result codes in these lines, each once.
fn explain_codes(lines: &[LogLine]) -> String {
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
