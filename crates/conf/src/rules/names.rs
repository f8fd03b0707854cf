//! Rules of names chosen by operators, and of references to them.

use base::ErrorCode;

use super::bounds;
use crate::document::{DiagnosticSink, NAME_MAX_BYTES, ValuePath, excerpt};

/// Checks a name. Names are used in object keys, URL paths and metrics.
pub(super) fn check_name(path: &ValuePath, name: &str, sink: &mut DiagnosticSink<'_>) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let starts = name.starts_with(|c: char| c.is_ascii_alphanumeric());
    if !starts || name.len() > NAME_MAX_BYTES || !name.chars().all(allowed) {
        let message = format!(
            "a name has 1 to {NAME_MAX_BYTES} letters, digits, `-`, `_` or `.`, and \
             starts with a letter or digit"
        );
        sink.report(ErrorCode::OutOfRange, path, message);
    }
}

/// Checks all keys of an object as names.
pub(super) fn check_names<'a>(
    object: &ValuePath,
    names: impl Iterator<Item = &'a String>,
    sink: &mut DiagnosticSink<'_>,
) {
    for chosen in names {
        check_name(&object.key(chosen), chosen, sink);
    }
}

/// Checks a required name.
pub(super) fn require_name(
    object: &ValuePath,
    key: &str,
    value: &str,
    sink: &mut DiagnosticSink<'_>,
) {
    if bounds::require(object, key, sink) {
        check_name(&object.key(key), value, sink);
    }
}

/// Reports a reference to a name that `section` does not define.
///
/// Nothing is reported if the section, or its member of that name, is itself known
/// to be invalid: the reference may be correct.
pub(super) fn report_missing_reference(
    path: &ValuePath,
    section: &str,
    name: &str,
    sink: &mut DiagnosticSink<'_>,
) {
    if sink.is_suppressed(&ValuePath::default().key(section).key(name)) {
        return;
    }
    let message = format!("`{}` is not defined in `{section}`", excerpt(name));
    sink.report(ErrorCode::MissingReference, path, message);
}

/// Checks that each reference in a list is defined and occurs only once.
pub(super) fn check_references(
    list: &ValuePath,
    section: &str,
    names: &[String],
    known: impl Fn(&str) -> bool,
    sink: &mut DiagnosticSink<'_>,
) {
    for (index, name) in names.iter().enumerate() {
        let path = list.index(index);
        if !known(name) {
            report_missing_reference(&path, section, name, sink);
        } else if names[..index].contains(name) {
            let message = format!("duplicate `{}` in this list", excerpt(name));
            sink.report(ErrorCode::DuplicateName, &path, message);
        }
    }
}
