//! Names that operators choose, and references to them.

use base::ErrorCode;

use super::bounds;
use crate::document::{Findings, NAME_MAX_BYTES, Path, quote};

/// Checks a name; it ends up in object keys, paths of URLs and metrics.
pub(super) fn name(path: &Path, name: &str, findings: &mut Findings<'_>) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let starts = name.starts_with(|c: char| c.is_ascii_alphanumeric());
    if !starts || name.len() > NAME_MAX_BYTES || !name.chars().all(allowed) {
        let message = format!(
            "a name has 1 to {NAME_MAX_BYTES} letters, digits, `-`, `_` or `.`, and \
             starts with a letter or digit"
        );
        findings.add(ErrorCode::OutOfRange, path, message);
    }
}

/// Checks all names of an object.
pub(super) fn names<'a>(
    object: &Path,
    names: impl Iterator<Item = &'a String>,
    findings: &mut Findings<'_>,
) {
    for chosen in names {
        name(&object.key(chosen), chosen, findings);
    }
}

/// Checks a name that must be given.
pub(super) fn needed_name(
    object: &Path,
    key: &str,
    value: &str,
    findings: &mut Findings<'_>,
) {
    if bounds::needed(object, key, findings) {
        name(&object.key(key), value, findings);
    }
}

/// Tells a reference to `section` that leads nowhere.
///
/// A section that was itself told as faulty is no ground for a fault here.
pub(super) fn missing(
    path: &Path,
    section: &str,
    name: &str,
    findings: &mut Findings<'_>,
) {
    if findings.is_broken(&Path::default().key(section).key(name)) {
        return;
    }
    let message = format!("`{}` is not in `{section}`", quote(name));
    findings.add(ErrorCode::MissingReference, path, message);
}

/// Checks a list of references: none missing, none twice.
pub(super) fn references(
    list: &Path,
    section: &str,
    names: &[String],
    known: impl Fn(&str) -> bool,
    findings: &mut Findings<'_>,
) {
    for (index, name) in names.iter().enumerate() {
        let path = list.index(index);
        if !known(name) {
            missing(&path, section, name, findings);
        } else if names[..index].contains(name) {
            let message = format!("`{}` stands twice in this list", quote(name));
            findings.add(ErrorCode::DuplicateName, &path, message);
        }
    }
}
