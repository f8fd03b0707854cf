//! What an unknown key was probably meant to be.

/// Unit suffixes that a key may end in.
const UNITS: &[&str] = &[
    "ns", "us", "ms", "s", "sec", "secs", "seconds", "min", "minutes", "h", "hours",
    "days", "bytes", "kb", "kib", "mb", "mib", "gb", "gib", "tb", "tib", "percent",
    "pct", "ratio", "milli",
];

/// Most single-character edits between a key and the one it was meant to be.
const EDITS_MAX: usize = 3;

/// What is known of an unknown key.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Spelling<'a> {
    /// A known key but for its unit.
    OtherUnit(&'a str),
    /// Close to a known key.
    Near(&'a str),
    /// Like no known key.
    Foreign,
}

/// Looks for the known key that was meant.
pub(super) fn look_up<'a>(
    name: &str,
    known: impl Iterator<Item = &'a str> + Clone,
) -> Spelling<'a> {
    let stem = stem(name);
    if let Some(other) = known.clone().find(|known| same_stem(stem, known)) {
        return Spelling::OtherUnit(other);
    }
    let nearest = known
        .map(|known| (edits(name, known), known))
        .min_by_key(|(edits, _)| *edits);
    match nearest {
        Some((edits, known)) if edits <= EDITS_MAX && edits * 2 < known.len() => {
            Spelling::Near(known)
        }
        _ => Spelling::Foreign,
    }
}

/// Whether a known key with a unit has this stem.
fn same_stem(name_stem: &str, known: &str) -> bool {
    let known_stem = stem(known);
    known_stem != known && known_stem == name_stem
}

/// A key without its unit suffix.
fn stem(name: &str) -> &str {
    match name.rsplit_once('_') {
        Some((stem, unit)) if UNITS.contains(&unit) => stem,
        _ => name,
    }
}

/// Levenshtein distance; keys are bounded, so the square is small.
fn edits(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (line, from) in one.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = line + 1;
        for (column, to) in other.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[other.len()]
}
