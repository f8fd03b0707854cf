//! Parses words as times, numbers and bounds.

use base::{Instant, RunStatus};

use super::ScriptError;
use super::line::{Word, Words};
use crate::script::Bounds;

/// Parses a duration such as `250us`, `10ms`, `2s` or `3min`, in microseconds.
pub(super) fn parse_duration_us(
    words: &Words<'_>,
    word: Word<'_>,
) -> Result<u64, ScriptError> {
    const UNITS: [(&str, u64); 4] = [
        ("us", 1),
        ("ms", 1_000),
        ("min", 60_000_000),
        ("s", 1_000_000),
    ];
    for (unit, us) in UNITS {
        let Some(digits) = word.text.strip_suffix(unit) else {
            continue;
        };
        if let Ok(count) = digits.parse::<u64>() {
            return Ok(count.saturating_mul(us));
        }
    }
    Err(words.error(word, "not a duration (`10ms`, `2s`, `3min`)"))
}

pub(super) fn parse_duration_ms(
    words: &Words<'_>,
    word: Word<'_>,
) -> Result<u64, ScriptError> {
    Ok(parse_duration_us(words, word)? / 1_000)
}

pub(super) fn parse_instant(
    words: &Words<'_>,
    word: Word<'_>,
) -> Result<Instant, ScriptError> {
    Ok(Instant::from_us(parse_duration_us(words, word)?))
}

pub(super) fn parse_number(
    words: &Words<'_>,
    word: Word<'_>,
) -> Result<u64, ScriptError> {
    word.text
        .parse()
        .map_err(|_| words.error(word, "not a whole number"))
}

pub(super) fn parse_number_u32(
    words: &Words<'_>,
    word: Word<'_>,
) -> Result<u32, ScriptError> {
    word.text
        .parse()
        .map_err(|_| words.error(word, "not a whole number"))
}

pub(super) fn parse_float(
    words: &Words<'_>,
    word: Word<'_>,
) -> Result<f64, ScriptError> {
    word.text
        .parse()
        .map_err(|_| words.error(word, "not a number"))
}

pub(super) fn parse_yes_no(
    words: &Words<'_>,
    word: Word<'_>,
) -> Result<bool, ScriptError> {
    match word.text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(words.error(word, "neither `yes` nor `no`")),
    }
}

pub(super) fn parse_run_status(
    words: &Words<'_>,
    word: Word<'_>,
) -> Result<RunStatus, ScriptError> {
    [RunStatus::NotRun, RunStatus::Ran, RunStatus::Unknown]
        .into_iter()
        .find(|ran| ran.as_str() == word.text)
        .ok_or_else(|| words.error(word, "not `not_run`, `ran` or `unknown`"))
}

/// Consumes `count=`, or at least one of `min=` and `max=`.
pub(super) fn parse_bounds(words: &mut Words<'_>) -> Result<Bounds, ScriptError> {
    if let Some(word) = words.optional_value("count") {
        let count = parse_number(words, word)?;
        return Ok(Bounds {
            min: count,
            max: count,
        });
    }
    let mut bounds = Bounds {
        min: 0,
        max: u64::MAX,
    };
    let min = words.optional_value("min");
    let max = words.optional_value("max");
    if min.is_none() && max.is_none() {
        words.required_value("count")?;
    }
    if let Some(word) = min {
        bounds.min = parse_number(words, word)?;
    }
    if let Some(word) = max {
        bounds.max = parse_number(words, word)?;
    }
    Ok(bounds)
}

/// Splits a value at commas.
pub(super) fn split_list(word: Word<'_>) -> Vec<String> {
    word.text.split(',').map(str::to_owned).collect()
}
