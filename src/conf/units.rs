//! Durations and sizes with units. A number without a unit is rejected, as it is ambiguous.

use std::time::Duration;

/// Names of units, with their length in microseconds.
const DURATION_UNITS: &[(&str, u64)] = &[
    ("us", 1),
    ("ms", 1_000),
    ("s", 1_000_000),
    ("min", 60_000_000),
    ("h", 3_600_000_000),
];

/// Names of units, with their size in bytes.
const SIZE_UNITS: &[(&str, u64)] = &[
    ("B", 1),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
];

/// What is wrong with a value that needs a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitFault {
    Number, // missing, or too large
    Unit,   // missing or unknown
}

/// Parses a duration, as `250 ms`, `2 s` or `10 min`.
pub fn parse_duration(text: &str) -> Result<Duration, UnitFault> {
    parse_with_unit(text, DURATION_UNITS).map(Duration::from_micros)
}

/// Parses a size in bytes, as `64 KiB` or `1 MB`.
pub fn parse_size(text: &str) -> Result<u64, UnitFault> {
    parse_with_unit(text, SIZE_UNITS)
}

fn parse_with_unit(
    text: &str,
    units: &[(&str, u64)],
) -> Result<u64, UnitFault> {
    let text = text.trim();
    let digits = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let number: u64 = text[..digits].parse().map_err(|_| UnitFault::Number)?;
    let unit = text[digits..].trim();
    let (_, factor) = units
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or(UnitFault::Unit)?;
    number.checked_mul(*factor).ok_or(UnitFault::Number)
}
