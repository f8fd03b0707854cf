//! JSON merge patches (RFC 7386).

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

/// Returns the patch that turns `before` into `after`.
///
/// For two equal objects it is an empty object. A patch can't set an object member
/// to null, since null stands for its removal.
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
            Some(old_value) if old_value == value => {}
            Some(old_value) => {
                patch.insert(key.clone(), diff(old_value, value));
            }
            None => {
                patch.insert(key.clone(), value.clone());
            }
        }
    }
    Value::Object(patch)
}
