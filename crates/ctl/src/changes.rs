//! What lies between two documents, as operators read it.

use serde::Serialize;
use serde_json::{Map, Value};

/// Longest value shown in a line, in characters.
const SHOWN_MAX: usize = 80;

/// One value that differs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// Where, such as `models.oracle-a.size_mib`.
    pub path: String,
    /// Value before, if there was one.
    pub before: Option<Value>,
    /// Value after, if there is one.
    pub after: Option<Value>,
}

impl Change {
    /// The change in one line, marked `+`, `-` or `~`.
    pub fn line(&self) -> String {
        let path = &self.path;
        match (&self.before, &self.after) {
            (None, Some(after)) => format!("+ {path}: {}", shown(after)),
            (Some(before), None) => format!("- {path}: {}", shown(before)),
            (Some(before), Some(after)) => {
                format!("~ {path}: {} -> {}", shown(before), shown(after))
            }
            (None, None) => format!("  {path}"),
        }
    }
}

fn shown(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(SHOWN_MAX) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text,
    }
}

/// All values that differ, in order of path.
///
/// `null`, which is the document before the first revision, counts as empty.
pub fn changes(before: &Value, after: &Value) -> Vec<Change> {
    let empty = Value::Object(Map::new());
    let before = if before.is_null() { &empty } else { before };
    let mut found = Vec::new();
    collect(String::new(), Some(before), Some(after), &mut found);
    found
}

fn collect(
    path: String,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<Change>,
) {
    if before == after {
        return;
    }
    if let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) {
        let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
        keys.sort();
        keys.dedup();
        for key in keys {
            collect(join(&path, key), old.get(key), new.get(key), found);
        }
        return;
    }
    found.push(Change {
        path,
        before: before.cloned(),
        after: after.cloned(),
    });
}

/// Paths that two merge patches against one document set differently.
///
/// Where one patch replaces or removes a value inside which the other changes
/// something, the outer path is given.
pub fn overlaps(ours: &Value, theirs: &Value) -> Vec<String> {
    let mut found = Vec::new();
    collect_overlaps(String::new(), ours, theirs, &mut found);
    found
}

fn collect_overlaps(
    path: String,
    ours: &Value,
    theirs: &Value,
    found: &mut Vec<String>,
) {
    if ours == theirs {
        return;
    }
    let (Value::Object(ours), Value::Object(theirs)) = (ours, theirs) else {
        found.push(path);
        return;
    };
    for (key, our_value) in ours {
        if let Some(their_value) = theirs.get(key) {
            collect_overlaps(join(&path, key), our_value, their_value, found);
        }
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}
