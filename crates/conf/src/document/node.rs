//! A size-bounded tree of a document's values with their text offsets.
//!
//! Texts and decoded documents are both converted into this tree, so the same
//! checks apply to both. The size limits are enforced here: a document that is too
//! large, too deeply nested or has too many values gets a single diagnostic, before
//! anything else is built from it.

use base::ErrorCode;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::Value;
use std::str::FromStr;

use super::{
    DEPTH_MAX, DOCUMENT_MAX_BYTES, DiagnosticSink, NAME_MAX_BYTES, VALUES_MAX,
    ValuePath,
};

/// One value of a document.
#[derive(Debug)]
pub(crate) struct Node {
    /// Byte offset in the text; 0 if there is no text.
    pub(super) offset: usize,
    /// The value.
    pub(super) content: NodeContent,
}

/// Content of a value.
#[derive(Debug)]
pub(crate) enum NodeContent {
    /// Members in the order of the text; keys may be duplicated.
    Object(Vec<Member>),
    /// Elements in order.
    Array(Vec<Node>),
    /// A string, number, boolean or null.
    Scalar(Value),
    /// A number that neither a 64-bit integer nor a 64-bit float can represent.
    UnrepresentableNumber,
}

/// One key of an object and its value.
#[derive(Debug)]
pub(crate) struct Member {
    /// The key.
    pub(super) name: String,
    /// Byte offset of the key.
    pub(super) offset: usize,
    /// The value.
    pub(super) node: Node,
}

/// JSON with comments and trailing commas; no other extension of JSON.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Parses a text. Returns `None` only if an error was reported.
pub(crate) fn parse_text(text: &str, sink: &mut DiagnosticSink<'_>) -> Option<Node> {
    let root = ValuePath::default();
    if text.len() > DOCUMENT_MAX_BYTES {
        sink.report(ErrorCode::OutOfRange, &root, size_limit_message(text.len()));
        return None;
    }
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &OPTIONS) {
        Ok(parsed) => parsed,
        Err(error) => {
            let offset = error.range().start;
            sink.report_at(
                ErrorCode::BadSyntax,
                &root,
                offset,
                error.kind().to_string(),
            );
            return None;
        }
    };
    let Some(value) = parsed.value else {
        sink.report(ErrorCode::BadSyntax, &root, "the document is empty");
        return None;
    };
    let mut builder = TreeBuilder::default();
    let node = builder.build_ast(&value, 0);
    builder.finish(node, sink)
}

/// Converts a decoded document. Returns `None` only if an error was reported.
pub(crate) fn from_value(value: &Value, sink: &mut DiagnosticSink<'_>) -> Option<Node> {
    let mut builder = TreeBuilder::default();
    let node = builder.build_value(value, 0);
    let node = builder.finish(node, sink)?;
    // Serializing recurses, so it has to come after the check of the depth.
    let bytes = value.to_string().len();
    if bytes > DOCUMENT_MAX_BYTES {
        sink.report(
            ErrorCode::OutOfRange,
            &ValuePath::default(),
            size_limit_message(bytes),
        );
        return None;
    }
    Some(node)
}

fn size_limit_message(bytes: usize) -> String {
    format!("the document has {bytes} bytes; the limit is {DOCUMENT_MAX_BYTES}")
}

/// Builds the tree, and stops when the first limit is exceeded.
#[derive(Debug, Default)]
struct TreeBuilder {
    /// Number of values built so far.
    values: usize,
    /// Text offset and message of the first limit exceeded.
    exceeded: Option<(usize, String)>,
}

impl TreeBuilder {
    fn finish(self, node: Node, sink: &mut DiagnosticSink<'_>) -> Option<Node> {
        let Some((offset, message)) = self.exceeded else {
            return Some(node);
        };
        sink.report_at(
            ErrorCode::OutOfRange,
            &ValuePath::default(),
            offset,
            message,
        );
        None
    }

    fn build_ast(&mut self, value: &ast::Value<'_>, depth: usize) -> Node {
        let offset = value.range().start;
        if !self.count_value(offset, depth) {
            return Node::null(offset);
        }
        let content = match value {
            ast::Value::StringLit(text) => {
                NodeContent::Scalar(Value::String(text.value.clone().into_owned()))
            }
            ast::Value::NumberLit(number) => parse_number(number.value),
            ast::Value::BooleanLit(flag) => {
                NodeContent::Scalar(Value::Bool(flag.value))
            }
            ast::Value::NullKeyword(_) => NodeContent::Scalar(Value::Null),
            ast::Value::Array(array) => {
                let nodes = array.elements.iter();
                NodeContent::Array(
                    nodes.map(|node| self.build_ast(node, depth + 1)).collect(),
                )
            }
            ast::Value::Object(object) => {
                let members = object.properties.iter();
                NodeContent::Object(
                    members
                        .map(|member| self.build_member(member, depth))
                        .collect(),
                )
            }
        };
        Node { offset, content }
    }

    fn build_member(&mut self, member: &ast::ObjectProp<'_>, depth: usize) -> Member {
        let offset = member.range.start;
        let name = self.bounded_key(member.name.as_str(), offset);
        let node = self.build_ast(&member.value, depth + 1);
        Member { name, offset, node }
    }

    fn build_value(&mut self, value: &Value, depth: usize) -> Node {
        if !self.count_value(0, depth) {
            return Node::null(0);
        }
        let content = match value {
            Value::Array(values) => {
                let nodes = values.iter();
                NodeContent::Array(
                    nodes
                        .map(|value| self.build_value(value, depth + 1))
                        .collect(),
                )
            }
            Value::Object(map) => {
                let members = map.iter().map(|(name, value)| Member {
                    name: self.bounded_key(name, 0),
                    offset: 0,
                    node: self.build_value(value, depth + 1),
                });
                NodeContent::Object(members.collect())
            }
            scalar => NodeContent::Scalar(scalar.clone()),
        };
        Node { offset: 0, content }
    }

    /// Counts a value. Returns false once a limit is exceeded.
    fn count_value(&mut self, offset: usize, depth: usize) -> bool {
        self.values += 1;
        if self.exceeded.is_none() && self.values > VALUES_MAX {
            let message = format!("the document has more than {VALUES_MAX} values");
            self.exceeded = Some((offset, message));
        }
        if self.exceeded.is_none() && depth >= DEPTH_MAX {
            let message = format!("values are nested more than {DEPTH_MAX} deep");
            self.exceeded = Some((offset, message));
        }
        self.exceeded.is_none()
    }

    /// Returns the key if its length is within the limit.
    ///
    /// The path of each value repeats the keys of all objects around it: a key of
    /// half a megabyte around ten thousand values would take gigabytes.
    fn bounded_key(&mut self, name: &str, offset: usize) -> String {
        if name.len() <= NAME_MAX_BYTES {
            return name.to_owned();
        }
        if self.exceeded.is_none() {
            let message = format!("a key is longer than {NAME_MAX_BYTES} bytes");
            self.exceeded = Some((offset, message));
        }
        String::new()
    }
}

impl Node {
    const fn null(offset: usize) -> Self {
        Self {
            offset,
            content: NodeContent::Scalar(Value::Null),
        }
    }
}

fn parse_number(text: &str) -> NodeContent {
    match serde_json::Number::from_str(text) {
        Ok(number) => NodeContent::Scalar(Value::Number(number)),
        Err(_) => NodeContent::UnrepresentableNumber,
    }
}
