use {
    super::token_cost,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{fmt::Write, time::Duration},
};

/// Header line of a trace file: the columns of public LLM inference traces, and in
/// addition the client account and the traffic class.
pub const COLUMNS: &str = "TIMESTAMP,ContextTokens,GeneratedTokens,Account,Class";

/// Date, hour and minute of all timestamps in generated traces.
const TIMESTAMP_PREFIX: &str = "2026-11-16 18:00:";

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceRow {
    pub at: Duration, // time since the first row
    pub context_tokens: u32,
    pub generated_tokens: u32, // 0 for a plain call
    pub account: String,
    pub class: String,
}

/// The number of a line that cannot be read, counted from 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TraceError(pub usize);

/// The requests that an account sends in one traffic class of a generated trace.
#[derive(Debug, Clone, Copy)]
pub struct TraceSource {
    pub account: &'static str,
    pub class: &'static str,
    pub per_second: f64,    // mean rate of requests
    pub median_tokens: f64, // generated tokens of a request; 0 for plain calls
}

/// Parses the text of a trace file.
pub fn read_trace(text: &str) -> Result<Vec<TraceRow>, TraceError> {
    let mut rows: Vec<TraceRow> = Vec::new();
    let mut first = None;
    for (index, line) in text.lines().enumerate().skip(1) {
        let (seconds, row) = read_row(line).ok_or(TraceError(index + 1))?;
        let start = *first.get_or_insert(seconds);
        rows.push(TraceRow {
            at: Duration::from_secs_f64((seconds - start).max(0.0)),
            ..row
        });
    }
    Ok(rows)
}

/// Generates the text of a trace file in which each source is a Poisson process with
/// lognormal numbers of tokens. The same seed gives the same trace.
pub fn make_trace(
    sources: &[TraceSource],
    seconds: f64,
    seed: u64,
) -> String {
    let mut random = StdRng::seed_from_u64(seed);
    let mut rows: Vec<(f64, String)> = Vec::new();
    for source in sources {
        let mut at = 0.0;
        loop {
            at -= random.random_range(f64::EPSILON..1.0).ln() / source.per_second;
            if at >= seconds {
                break;
            }
            let tokens = match source.median_tokens {
                0.0 => 0,
                median => token_cost(&mut random, median, 0.7),
            };
            let context = random.random_range(50..600);
            let rest = format!("{context},{tokens},{},{}", source.account, source.class);
            rows.push((at, rest));
        }
    }
    rows.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut text = format!("{COLUMNS}\n");
    for (at, rest) in rows {
        writeln!(text, "{TIMESTAMP_PREFIX}{at:010.7},{rest}").expect("a string takes all");
    }
    text
}

fn read_row(line: &str) -> Option<(f64, TraceRow)> {
    let mut fields = line.split(',');
    let seconds = seconds_of_day(fields.next()?)?;
    let row = TraceRow {
        at: Duration::ZERO,
        context_tokens: fields.next()?.parse().ok()?,
        generated_tokens: fields.next()?.parse().ok()?,
        account: fields.next()?.to_owned(),
        class: fields.next()?.to_owned(),
    };
    fields.next().is_none().then_some((seconds, row))
}

/// Seconds since midnight of a timestamp like `2023-11-16 18:15:46.6805900`. The date is
/// ignored, since no trace passes midnight.
fn seconds_of_day(timestamp: &str) -> Option<f64> {
    let (_, time) = timestamp.split_once(' ')?;
    let mut parts = time.split(':');
    let hours: f64 = parts.next()?.parse().ok()?;
    let minutes: f64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(hours * 3_600.0 + minutes * 60.0 + seconds)
}
