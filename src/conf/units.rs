//! Values with units. A bare number is refused, so that no reader has to guess.

use std::time::Duration;

const DURATION_UNITS: &[(&str, u64)] = &[
    ("us", 1),
    ("ms", 1_000),
    ("s", 1_000_000),
    ("min", 60_000_000),
    ("h", 3_600_000_000),
];

const SIZE_UNITS: &[(&str, u64)] = &[
    ("B", 1),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
];

/// Why a value with a unit was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnitFault {
    Number,
    Unit,
}

/// Parses `250 ms`, `2 s`, `10 min`.
pub fn parse_duration(text: &str) -> Result<Duration, UnitFault> {
    with_unit(text, DURATION_UNITS).map(Duration::from_micros)
}

/// Parses `64 KiB`, `1 MB`.
pub fn parse_size(text: &str) -> Result<u64, UnitFault> {
    with_unit(text, SIZE_UNITS)
}

fn with_unit(
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
