//! Differences between two configuration documents.

use serde::Serialize;
use serde_json::{Map, Value};

/// Longest value in a printed line, in characters; longer ones are cut.
const VALUE_MAX_CHARS: usize = 80;

/// One value that differs between two documents.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// Path in the document, such as `models.oracle-a.size_mib`.
    pub path: String,
    /// Value in the first document; `None` if it was added.
    pub before: Option<Value>,
    /// Value in the second document; `None` if it was removed.
    pub after: Option<Value>,
}

impl Change {
    /// Formats the change as one line: `+` for an added value, `-` for a
    /// removed one, `~` for a changed one.
    pub fn to_line(&self) -> String {
        let path = &self.path;
        match (&self.before, &self.after) {
            (None, Some(after)) => format!("+ {path}: {}", format_value(after)),
            (Some(before), None) => format!("- {path}: {}", format_value(before)),
            (Some(before), Some(after)) => {
                format!(
                    "~ {path}: {} -> {}",
                    format_value(before),
                    format_value(after)
                )
            }
            (None, None) => format!("  {path}"),
        }
    }
}

fn format_value(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(VALUE_MAX_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}

/// Lists all values that differ, sorted by path.
///
/// `null`, the document before the first revision, counts as empty.
pub fn diff_documents(before: &Value, after: &Value) -> Vec<Change> {
    let empty = Value::Object(Map::new());
    let before = if before.is_null() { &empty } else { before };
    let mut changes = Vec::new();
    collect_changes(String::new(), Some(before), Some(after), &mut changes);
    changes
}

fn collect_changes(
    path: String,
    before: Option<&Value>,
    after: Option<&Value>,
    changes: &mut Vec<Change>,
) {
    if before == after {
        return;
    }
    if let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) {
        let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
        keys.sort();
        keys.dedup();
        for key in keys {
            collect_changes(join_path(&path, key), old.get(key), new.get(key), changes);
        }
        return;
    }
    changes.push(Change {
        path,
        before: before.cloned(),
        after: after.cloned(),
    });
}

/// Lists the paths that two merge patches against the same document set to
/// different values.
///
/// If one patch replaces or removes an object in which the other changes a
/// value, the path of the object is listed.
pub fn overlapping_paths(ours: &Value, theirs: &Value) -> Vec<String> {
    let mut changes = Vec::new();
    collect_overlapping_paths(String::new(), ours, theirs, &mut changes);
    changes
}

fn collect_overlapping_paths(
    path: String,
    ours: &Value,
    theirs: &Value,
    changes: &mut Vec<String>,
) {
    if ours == theirs {
        return;
    }
    let (Value::Object(ours), Value::Object(theirs)) = (ours, theirs) else {
        changes.push(path);
        return;
    };
    for (key, our_value) in ours {
        if let Some(their_value) = theirs.get(key) {
            collect_overlapping_paths(
                join_path(&path, key),
                our_value,
                their_value,
                changes,
            );
        }
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}
