//! JSON merge patches (RFC 7386): how one document becomes the next.

use serde_json::{Map, Value};

/// Applies a patch to a document.
pub fn apply(document: &mut Value, patch: &Value) {
    let Value::Object(patch) = patch else {
        *document = patch.clone();
        return;
    };
    if !document.is_object() {
        *document = Value::Object(Map::new());
    }
    let Value::Object(document) = document else {
        return;
    };
    for (key, value) in patch {
        if value.is_null() {
            document.remove(key);
        } else {
            apply(document.entry(key.clone()).or_insert(Value::Null), value);
        }
    }
}

/// The patch that makes `after` out of `before`; an empty object if equal.
pub fn diff(before: &Value, after: &Value) -> Value {
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        return after.clone();
    };
    let mut patch = Map::new();
    for key in old.keys().filter(|key| !new.contains_key(*key)) {
        patch.insert(key.clone(), Value::Null);
    }
    for (key, value) in new {
        match old.get(key) {
            Some(held) if held == value => {}
            Some(held) => {
                patch.insert(key.clone(), diff(held, value));
            }
            None => {
                patch.insert(key.clone(), value.clone());
            }
        }
    }
    Value::Object(patch)
}
