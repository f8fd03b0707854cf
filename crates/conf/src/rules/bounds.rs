//! Ranges of numbers and texts, and keys that must be given.

use base::ErrorCode;

use crate::document::{Findings, Path};

/// Range of a whole number, with its ends.
#[derive(Debug, Clone, Copy)]
pub(super) struct Range {
    pub(super) min: u64,
    pub(super) max: u64,
}

/// A range with its ends.
pub(super) const fn range(min: u64, max: u64) -> Range {
    Range { min, max }
}

pub(super) const SIZE_MIB: Range = range(1, 16 << 20);

/// Tells a key that is missing; true if it is given.
pub(super) fn needed(object: &Path, key: &str, findings: &mut Findings<'_>) -> bool {
    let path = object.key(key);
    if findings.is_given(&path) {
        return true;
    }
    findings.add(
        ErrorCode::MissingKey,
        &path,
        format!("`{key}` must be given"),
    );
    false
}

/// A number that must be given and lie in a range.
pub(super) fn needed_whole(
    object: &Path,
    key: &str,
    value: impl Into<u64>,
    range: Range,
    findings: &mut Findings<'_>,
) {
    if needed(object, key, findings) {
        whole(&object.key(key), value, range, findings);
    }
}

/// A number that must lie in a range if it is given.
pub(super) fn given_whole(
    object: &Path,
    key: &str,
    value: impl Into<u64>,
    range: Range,
    findings: &mut Findings<'_>,
) {
    let path = object.key(key);
    if findings.is_given(&path) {
        whole(&path, value, range, findings);
    }
}

/// A number that must lie in a range.
pub(super) fn whole(
    path: &Path,
    value: impl Into<u64>,
    Range { min, max }: Range,
    findings: &mut Findings<'_>,
) {
    let value = value.into();
    if value < min || value > max {
        let message = format!("{value} is outside {min} to {max}");
        findings.add(ErrorCode::OutOfRange, path, message);
    }
}

/// A number with a fraction that must be given and lie in a range.
pub(super) fn needed_number(
    object: &Path,
    key: &str,
    value: f64,
    (min, max): (f64, f64),
    findings: &mut Findings<'_>,
) {
    if !needed(object, key, findings) {
        return;
    }
    // Written so that a value that is not a number is outside too.
    if !(value >= min && value <= max) {
        let message = format!("{value} is outside {min} to {max}");
        findings.add(ErrorCode::OutOfRange, &object.key(key), message);
    }
}

/// A text that must be given and be one of a few words.
pub(super) fn needed_word(
    object: &Path,
    key: &str,
    value: &str,
    words: &[&str],
    findings: &mut Findings<'_>,
) {
    if needed(object, key, findings) {
        word(&object.key(key), value, words, findings);
    }
}

/// A text that must be one of a few words.
pub(super) fn word(
    path: &Path,
    value: &str,
    words: &[&str],
    findings: &mut Findings<'_>,
) {
    if !words.contains(&value) {
        let message = format!("must be one of: {}", words.join(", "));
        findings.add(ErrorCode::OutOfRange, path, message);
    }
}
