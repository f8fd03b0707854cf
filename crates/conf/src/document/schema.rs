//! Validates a tree against the generated table of settings fields.
//!
//! Values that match the schema are retained. The others are reported and left
//! out, so that the rules can still check the retained part.

use base::ErrorCode;
use schema::settings::MESSAGES;
use schema::{Cardinality, FieldDescriptor, FieldKind, MessageDescriptor};
use serde_json::{Map, Value};
use std::collections::BTreeSet;

use super::node::{Member, Node, NodeContent};
use super::suggestion::{self, KeySuggestion};
use super::{DiagnosticSink, ValuePath};

/// Maximum length in characters of an excerpt of the document in a message.
const EXCERPT_MAX_CHARS: usize = 40;

/// Returns the part of a tree that matches the named schema message, and reports
/// the rest.
pub(crate) fn retain_valid(
    node: &Node,
    message: &str,
    sink: &mut DiagnosticSink<'_>,
) -> Value {
    let root = ValuePath::default();
    sink.record_offset(&root, node.offset);
    validate_message(node, message, &root, sink)
}

fn validate_message(
    node: &Node,
    message: &str,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) -> Value {
    let Some(members) = expect_object(node, path, sink) else {
        return Value::Object(Map::new());
    };
    let Some(descriptor) = MESSAGES
        .iter()
        .find(|descriptor| descriptor.name == message)
    else {
        // Reached only if the generated table lacks one of the schema's messages.
        sink.report(
            ErrorCode::WrongType,
            path,
            format!("{message} is not in the schema"),
        );
        return Value::Object(Map::new());
    };
    let mut kept = Map::new();
    for member in unique_members(members, path, sink) {
        let inner = path.key(&member.name);
        match descriptor.field(&member.name) {
            Some(field) => {
                sink.record_offset(&inner, member.node.offset);
                if let Some(value) = validate_field(&member.node, field, &inner, sink) {
                    kept.insert(member.name.clone(), value);
                }
            }
            None => report_unknown_key(member, members, descriptor, path, sink),
        }
    }
    Value::Object(kept)
}

fn report_unknown_key(
    member: &Member,
    members: &[Member],
    descriptor: &MessageDescriptor,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) {
    let known = descriptor.fields.iter().map(|field| field.name);
    let inner = path.key(&member.name);
    let (code, message) = match suggestion::suggest_key(&member.name, known) {
        KeySuggestion::OtherUnit(known) => {
            suppress_missing_key(known, members, path, sink);
            let message = format!("missing or wrong unit in the key: write `{known}`");
            (ErrorCode::WrongUnit, message)
        }
        KeySuggestion::Similar(known) => {
            suppress_missing_key(known, members, path, sink);
            let message = format!("unknown key; did you mean `{known}`?");
            (ErrorCode::UnknownKey, message)
        }
        KeySuggestion::NoMatch => {
            let known: Vec<_> =
                descriptor.fields.iter().map(|field| field.name).collect();
            let message = format!("unknown key; known keys are {}", known.join(", "));
            (ErrorCode::UnknownKey, message)
        }
    };
    sink.report_at(code, &inner, member.offset, message);
}

/// Prevents a diagnostic that the suggested key is missing, if it is absent.
fn suppress_missing_key(
    known: &str,
    members: &[Member],
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) {
    if !members.iter().any(|member| member.name == known) {
        sink.suppress(&path.key(known));
    }
}

fn validate_field(
    node: &Node,
    field: &FieldDescriptor,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) -> Option<Value> {
    match field.cardinality {
        Cardinality::Single => validate_value(node, field.kind, path, sink),
        Cardinality::List => validate_list(node, field.kind, path, sink),
        Cardinality::Map => validate_map(node, field.kind, path, sink),
    }
}

fn validate_list(
    node: &Node,
    kind: FieldKind,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) -> Option<Value> {
    let NodeContent::Array(nodes) = &node.content else {
        report_wrong_type(node, "an array", path, sink);
        return None;
    };
    let mut kept = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        let inner = path.index(index);
        sink.record_offset(&inner, node.offset);
        kept.extend(validate_value(node, kind, &inner, sink));
    }
    if kept.len() < nodes.len() {
        // The elements after an omitted one have other indexes than in the text, so
        // the rules must not report errors for them.
        sink.suppress(path);
    }
    Some(Value::Array(kept))
}

fn validate_map(
    node: &Node,
    kind: FieldKind,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) -> Option<Value> {
    let members = expect_object(node, path, sink)?;
    let mut kept = Map::new();
    for member in unique_members(members, path, sink) {
        let inner = path.key(&member.name);
        sink.record_offset(&inner, member.node.offset);
        if let Some(value) = validate_value(&member.node, kind, &inner, sink) {
            kept.insert(member.name.clone(), value);
        }
    }
    Some(Value::Object(kept))
}

fn validate_value(
    node: &Node,
    kind: FieldKind,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) -> Option<Value> {
    if let FieldKind::Message(name) = kind {
        return Some(validate_message(node, name, path, sink));
    }
    let (fits, expected) = match (&node.content, kind) {
        (NodeContent::UnrepresentableNumber, _) => {
            return report_out_of_range(path, sink, "a 64-bit integer or float");
        }
        (NodeContent::Scalar(value), FieldKind::String) => {
            (value.is_string(), "a string")
        }
        (NodeContent::Scalar(value), FieldKind::Bool) => {
            (value.is_boolean(), "`true` or `false`")
        }
        (NodeContent::Scalar(value), FieldKind::Double) => {
            (value.is_number(), "a number")
        }
        (NodeContent::Scalar(value), _) => {
            return validate_unsigned(node, value, kind, path, sink);
        }
        (_, FieldKind::String) => (false, "a string"),
        (_, FieldKind::Bool) => (false, "`true` or `false`"),
        _ => (false, "a number"),
    };
    match &node.content {
        NodeContent::Scalar(value) if fits => Some(value.clone()),
        _ => {
            report_wrong_type(node, expected, path, sink);
            None
        }
    }
}

fn validate_unsigned(
    node: &Node,
    value: &Value,
    kind: FieldKind,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) -> Option<Value> {
    let max = match kind {
        FieldKind::Uint32 => u64::from(u32::MAX),
        _ => u64::MAX,
    };
    if value.is_i64() && !value.is_u64() {
        return report_out_of_range(path, sink, "0 or more");
    }
    match value.as_u64() {
        Some(whole) if whole <= max => Some(value.clone()),
        Some(_) => report_out_of_range(path, sink, &format!("at most {max}")),
        None => {
            report_wrong_type(node, "an integer", path, sink);
            None
        }
    }
}

fn report_out_of_range(
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
    expected: &str,
) -> Option<Value> {
    sink.report(
        ErrorCode::OutOfRange,
        path,
        format!("the number must be {expected}"),
    );
    sink.suppress(path);
    None
}

fn report_wrong_type(
    node: &Node,
    expected: &str,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) {
    let message = format!("expected {expected}, found {}", describe(&node.content));
    sink.report(ErrorCode::WrongType, path, message);
    sink.suppress(path);
}

fn describe(content: &NodeContent) -> String {
    match content {
        NodeContent::Object(_) => "an object".to_owned(),
        NodeContent::Array(_) => "an array".to_owned(),
        NodeContent::UnrepresentableNumber => {
            "a number that is neither a 64-bit integer nor a 64-bit float".to_owned()
        }
        NodeContent::Scalar(value) => excerpt(&value.to_string()),
    }
}

/// Shortens a piece of the document for use in a message.
pub(crate) fn excerpt(text: &str) -> String {
    let mut short: String = text.chars().take(EXCERPT_MAX_CHARS).collect();
    if short.len() < text.len() {
        short.push('…');
    }
    short
}

fn expect_object<'n>(
    node: &'n Node,
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) -> Option<&'n [Member]> {
    if let NodeContent::Object(members) = &node.content {
        return Some(members);
    }
    report_wrong_type(node, "an object", path, sink);
    None
}

/// Returns the first member of each key, and reports the duplicates.
fn unique_members<'n>(
    members: &'n [Member],
    path: &ValuePath,
    sink: &mut DiagnosticSink<'_>,
) -> Vec<&'n Member> {
    let mut seen = BTreeSet::new();
    let mut first = Vec::new();
    for member in members {
        if seen.insert(member.name.as_str()) {
            first.push(member);
            continue;
        }
        let message = "duplicate key in this object";
        let inner = path.key(&member.name);
        sink.report_at(ErrorCode::DuplicateName, &inner, member.offset, message);
    }
    first
}
