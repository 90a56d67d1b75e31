use {
    super::{
        CtlError,
        log_lines::{line_table, logged_at, read_lines},
        output::json,
    },
    crate::codes::ResultCode,
    getopts::Matches,
    std::time::Duration,
};

/// Time shown before and after the moment, unless `--around` sets it.
const DEFAULT_AROUND: Duration = Duration::from_secs(2);

/// Shows the lines of collected logs around a moment, of all processes, by time. `--only TEXT`
/// selects the lines that contain a text, as the id of an upstream.
pub fn timeline(
    matches: &Matches,
    as_json: bool,
) -> Result<String, CtlError> {
    let files = &matches.free[1..];
    let at: Option<u64> = number(matches, "at")?;
    let Some(at) = at.filter(|_| !files.is_empty()) else {
        let usage =
            "timeline takes --at, a moment in milliseconds of the unix clock, and log files";
        return Err(CtlError::usage(usage));
    };
    let around = number(matches, "around")?.map_or(DEFAULT_AROUND, Duration::from_secs);
    let around = around.as_millis() as u64;
    let only = matches.opt_str("only").unwrap_or_default();
    let mut lines = read_lines(files, |line| line.contains(&only))?;
    lines.retain(|line| logged_at(line).is_some_and(|moment| moment.abs_diff(at) <= around));
    if lines.is_empty() {
        let detail = format!(
            "no line within {around} ms of {at} in {} files",
            files.len()
        );
        return Err(CtlError::new(ResultCode::NothingFound, detail));
    }
    lines.sort_by_key(logged_at);
    Ok(if as_json {
        json(&lines)
    } else {
        line_table(&lines)
    })
}

fn number(
    matches: &Matches,
    name: &str,
) -> Result<Option<u64>, CtlError> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    let wrong = |_| CtlError::usage(format!("--{name} {text} is not a whole number"));
    text.parse().map(Some).map_err(wrong)
}
