//! Checks of required keys, numeric ranges and enumerated strings.

use base::ErrorCode;

use crate::document::{DiagnosticSink, ValuePath};

/// Inclusive range of an unsigned integer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Range {
    pub(super) min: u64,
    pub(super) max: u64,
}

/// Returns an inclusive range.
pub(super) const fn range(min: u64, max: u64) -> Range {
    Range { min, max }
}

/// Accelerator memory, or the share of it that a model takes.
pub(super) const SIZE_MIB: Range = range(1, 16 << 20);

/// Returns whether a required key is present, and reports it if not.
pub(super) fn require(
    object: &ValuePath,
    key: &str,
    sink: &mut DiagnosticSink<'_>,
) -> bool {
    let path = object.key(key);
    if sink.is_present(&path) {
        return true;
    }
    sink.report(ErrorCode::MissingKey, &path, format!("`{key}` is required"));
    false
}

/// Checks a required integer against a range.
pub(super) fn require_in_range(
    object: &ValuePath,
    key: &str,
    value: impl Into<u64>,
    range: Range,
    sink: &mut DiagnosticSink<'_>,
) {
    if require(object, key, sink) {
        check_range(&object.key(key), value, range, sink);
    }
}

/// Checks an optional integer against a range, if it is present.
pub(super) fn check_optional_range(
    object: &ValuePath,
    key: &str,
    value: impl Into<u64>,
    range: Range,
    sink: &mut DiagnosticSink<'_>,
) {
    let path = object.key(key);
    if sink.is_present(&path) {
        check_range(&path, value, range, sink);
    }
}

/// Checks an integer against a range.
pub(super) fn check_range(
    path: &ValuePath,
    value: impl Into<u64>,
    Range { min, max }: Range,
    sink: &mut DiagnosticSink<'_>,
) {
    let value = value.into();
    if value < min || value > max {
        let message = format!("{value} is outside {min} to {max}");
        sink.report(ErrorCode::OutOfRange, path, message);
    }
}

/// Checks a required floating-point number against an inclusive range.
pub(super) fn require_float_in_range(
    object: &ValuePath,
    key: &str,
    value: f64,
    (min, max): (f64, f64),
    sink: &mut DiagnosticSink<'_>,
) {
    if !require(object, key, sink) {
        return;
    }
    // The negated form reports NaN as well, for which every comparison is false.
    if !(value >= min && value <= max) {
        let message = format!("{value} is outside {min} to {max}");
        sink.report(ErrorCode::OutOfRange, &object.key(key), message);
    }
}

/// Checks that a required string is one of a fixed set.
pub(super) fn require_one_of(
    object: &ValuePath,
    key: &str,
    value: &str,
    allowed: &[&str],
    sink: &mut DiagnosticSink<'_>,
) {
    if require(object, key, sink) {
        check_one_of(&object.key(key), value, allowed, sink);
    }
}

/// Checks that a string is one of a fixed set.
pub(super) fn check_one_of(
    path: &ValuePath,
    value: &str,
    allowed: &[&str],
    sink: &mut DiagnosticSink<'_>,
) {
    if !allowed.contains(&value) {
        let message = format!("must be one of: {}", allowed.join(", "));
        sink.report(ErrorCode::OutOfRange, path, message);
    }
}
