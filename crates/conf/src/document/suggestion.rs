//! Suggests the known key that an unknown key was probably meant to be.

/// Unit suffixes of keys, including ones that no known key uses.
const UNITS: &[&str] = &[
    "ns", "us", "ms", "s", "sec", "secs", "seconds", "min", "minutes", "h", "hours",
    "days", "bytes", "kb", "kib", "mb", "mib", "gb", "gib", "tb", "tib", "percent",
    "pct", "ratio", "milli",
];

/// Maximum edit distance between an unknown key and the key suggested for it.
const DISTANCE_MAX: usize = 3;

/// Suggestion for an unknown key.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum KeySuggestion<'a> {
    /// The known key differs only in its unit suffix.
    OtherUnit(&'a str),
    /// The known key has a small edit distance.
    Similar(&'a str),
    /// No known key is similar.
    NoMatch,
}

/// Finds the known key that was probably meant.
pub(super) fn suggest_key<'a>(
    name: &str,
    known: impl Iterator<Item = &'a str> + Clone,
) -> KeySuggestion<'a> {
    let stem = without_unit(name);
    if let Some(other) = known
        .clone()
        .find(|known| matches_without_unit(stem, known))
    {
        return KeySuggestion::OtherUnit(other);
    }
    let nearest = known
        .map(|known| (levenshtein(name, known), known))
        .min_by_key(|(distance, _)| *distance);
    match nearest {
        Some((distance, known))
            if distance <= DISTANCE_MAX && distance * 2 < known.len() =>
        {
            KeySuggestion::Similar(known)
        }
        _ => KeySuggestion::NoMatch,
    }
}

/// Whether a known key has a unit suffix and equals `name_stem` without it.
fn matches_without_unit(name_stem: &str, known: &str) -> bool {
    let known_stem = without_unit(known);
    known_stem != known && known_stem == name_stem
}

/// Strips the unit suffix of a key, if it has one.
fn without_unit(name: &str) -> &str {
    match name.rsplit_once('_') {
        Some((stem, unit)) if UNITS.contains(&unit) => stem,
        _ => name,
    }
}

/// Levenshtein distance. The cost is the product of the lengths, which
/// [`NAME_MAX_BYTES`](super::NAME_MAX_BYTES) bounds.
fn levenshtein(one: &str, other: &str) -> usize {
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
