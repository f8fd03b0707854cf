//! Holds a tree against the generated table of settings fields.
//!
//! What has the right shape is kept, the rest is told as faults and left out,
//! so that the rules can still look at the part that was kept.

use base::ErrorCode;
use schema::settings::MESSAGES;
use schema::{Cardinality, FieldDescriptor, FieldKind, MessageDescriptor};
use serde_json::{Map, Value};
use std::collections::BTreeSet;

use super::node::{Body, Member, Node};
use super::spelling::{self, Spelling};
use super::{Findings, Path};

/// Longest piece of a document that a message repeats, in characters.
const QUOTE_MAX: usize = 40;

/// Keeps of a tree what the named message knows.
pub(crate) fn keep_known(
    node: &Node,
    message: &str,
    findings: &mut Findings<'_>,
) -> Value {
    let root = Path::default();
    findings.place(&root, node.offset);
    keep_message(node, message, &root, findings)
}

fn keep_message(
    node: &Node,
    message: &str,
    path: &Path,
    findings: &mut Findings<'_>,
) -> Value {
    let Some(members) = object(node, path, findings) else {
        return Value::Object(Map::new());
    };
    let Some(shape) = MESSAGES.iter().find(|shape| shape.name == message) else {
        // Only a schema whose table lacks one of its own messages comes here.
        findings.add(
            ErrorCode::WrongType,
            path,
            format!("{message} is not in the schema"),
        );
        return Value::Object(Map::new());
    };
    let mut kept = Map::new();
    for member in unique(members, path, findings) {
        let inner = path.key(&member.name);
        match shape.field(&member.name) {
            Some(field) => {
                findings.place(&inner, member.node.offset);
                if let Some(value) = keep_field(&member.node, field, &inner, findings) {
                    kept.insert(member.name.clone(), value);
                }
            }
            None => tell_unknown(member, members, shape, path, findings),
        }
    }
    Value::Object(kept)
}

fn tell_unknown(
    member: &Member,
    members: &[Member],
    shape: &MessageDescriptor,
    path: &Path,
    findings: &mut Findings<'_>,
) {
    let known = shape.fields.iter().map(|field| field.name);
    let inner = path.key(&member.name);
    let (code, message) = match spelling::look_up(&member.name, known) {
        Spelling::OtherUnit(known) => {
            excuse(known, members, path, findings);
            let message = format!("the unit is part of the key: write `{known}`");
            (ErrorCode::WrongUnit, message)
        }
        Spelling::Near(known) => {
            excuse(known, members, path, findings);
            let message = format!("no such key; did you mean `{known}`?");
            (ErrorCode::UnknownKey, message)
        }
        Spelling::Foreign => {
            let known: Vec<_> = shape.fields.iter().map(|field| field.name).collect();
            let message = format!("no such key; known are {}", known.join(", "));
            (ErrorCode::UnknownKey, message)
        }
    };
    findings.add_at(code, &inner, member.offset, message);
}

/// Keeps the key that was meant from also being told as missing.
fn excuse(known: &str, members: &[Member], path: &Path, findings: &mut Findings<'_>) {
    if !members.iter().any(|member| member.name == known) {
        findings.mark_broken(&path.key(known));
    }
}

fn keep_field(
    node: &Node,
    field: &FieldDescriptor,
    path: &Path,
    findings: &mut Findings<'_>,
) -> Option<Value> {
    match field.cardinality {
        Cardinality::Single => keep_one(node, field.kind, path, findings),
        Cardinality::List => keep_list(node, field.kind, path, findings),
        Cardinality::Map => keep_named(node, field.kind, path, findings),
    }
}

fn keep_list(
    node: &Node,
    kind: FieldKind,
    path: &Path,
    findings: &mut Findings<'_>,
) -> Option<Value> {
    let Body::Array(nodes) = &node.body else {
        tell_type(node, "an array", path, findings);
        return None;
    };
    let mut kept = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        let inner = path.index(index);
        findings.place(&inner, node.offset);
        kept.extend(keep_one(node, kind, &inner, findings));
    }
    if kept.len() < nodes.len() {
        // Indexes behind a value left out have shifted, so the rules look away.
        findings.mark_broken(path);
    }
    Some(Value::Array(kept))
}

fn keep_named(
    node: &Node,
    kind: FieldKind,
    path: &Path,
    findings: &mut Findings<'_>,
) -> Option<Value> {
    let members = object(node, path, findings)?;
    let mut kept = Map::new();
    for member in unique(members, path, findings) {
        let inner = path.key(&member.name);
        findings.place(&inner, member.node.offset);
        if let Some(value) = keep_one(&member.node, kind, &inner, findings) {
            kept.insert(member.name.clone(), value);
        }
    }
    Some(Value::Object(kept))
}

fn keep_one(
    node: &Node,
    kind: FieldKind,
    path: &Path,
    findings: &mut Findings<'_>,
) -> Option<Value> {
    if let FieldKind::Message(name) = kind {
        return Some(keep_message(node, name, path, findings));
    }
    let (fits, wanted) = match (&node.body, kind) {
        (Body::HugeNumber, _) => return tell_range(path, findings, "any number held"),
        (Body::Scalar(value), FieldKind::String) => (value.is_string(), "a string"),
        (Body::Scalar(value), FieldKind::Bool) => {
            (value.is_boolean(), "`true` or `false`")
        }
        (Body::Scalar(value), FieldKind::Double) => (value.is_number(), "a number"),
        (Body::Scalar(value), _) => {
            return keep_whole(node, value, kind, path, findings);
        }
        (_, FieldKind::String) => (false, "a string"),
        (_, FieldKind::Bool) => (false, "`true` or `false`"),
        _ => (false, "a number"),
    };
    match &node.body {
        Body::Scalar(value) if fits => Some(value.clone()),
        _ => {
            tell_type(node, wanted, path, findings);
            None
        }
    }
}

fn keep_whole(
    node: &Node,
    value: &Value,
    kind: FieldKind,
    path: &Path,
    findings: &mut Findings<'_>,
) -> Option<Value> {
    let max = match kind {
        FieldKind::Uint32 => u64::from(u32::MAX),
        _ => u64::MAX,
    };
    if value.is_i64() && !value.is_u64() {
        return tell_range(path, findings, "0 or more");
    }
    match value.as_u64() {
        Some(whole) if whole <= max => Some(value.clone()),
        Some(_) => tell_range(path, findings, &format!("at most {max}")),
        None => {
            tell_type(node, "a whole number", path, findings);
            None
        }
    }
}

fn tell_range(path: &Path, findings: &mut Findings<'_>, wanted: &str) -> Option<Value> {
    findings.add(
        ErrorCode::OutOfRange,
        path,
        format!("the number must be {wanted}"),
    );
    findings.mark_broken(path);
    None
}

fn tell_type(node: &Node, wanted: &str, path: &Path, findings: &mut Findings<'_>) {
    let message = format!("needs {wanted}, but is {}", describe(&node.body));
    findings.add(ErrorCode::WrongType, path, message);
    findings.mark_broken(path);
}

fn describe(body: &Body) -> String {
    match body {
        Body::Object(_) => "an object".to_owned(),
        Body::Array(_) => "an array".to_owned(),
        Body::HugeNumber => "a number out of all ranges".to_owned(),
        Body::Scalar(value) => quote(&value.to_string()),
    }
}

/// A piece of the document, short enough for a message.
pub(crate) fn quote(text: &str) -> String {
    let mut short: String = text.chars().take(QUOTE_MAX).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short
}

fn object<'n>(
    node: &'n Node,
    path: &Path,
    findings: &mut Findings<'_>,
) -> Option<&'n [Member]> {
    if let Body::Object(members) = &node.body {
        return Some(members);
    }
    tell_type(node, "an object", path, findings);
    None
}

/// Members with a key seen for the first time; the others are told.
fn unique<'n>(
    members: &'n [Member],
    path: &Path,
    findings: &mut Findings<'_>,
) -> Vec<&'n Member> {
    let mut seen = BTreeSet::new();
    let mut first = Vec::new();
    for member in members {
        if seen.insert(member.name.as_str()) {
            first.push(member);
            continue;
        }
        let message = "the key stands twice in this object";
        let inner = path.key(&member.name);
        findings.add_at(ErrorCode::DuplicateName, &inner, member.offset, message);
    }
    first
}
