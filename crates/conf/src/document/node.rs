//! A bounded tree of a document's values with their places.
//!
//! Texts and decoded documents both become this tree, so one check serves both.
//! The bounds stand here: a text that is too large, too deep or has too many
//! values ends as one fault, before anything else is built from it.

use base::ErrorCode;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde_json::Value;
use std::str::FromStr;

use super::{
    DEPTH_MAX, DOCUMENT_MAX_BYTES, Findings, NAME_MAX_BYTES, Path, VALUES_MAX,
};

/// One value of a document.
#[derive(Debug)]
pub(crate) struct Node {
    /// Byte offset in the text; 0 without one.
    pub(super) offset: usize,
    /// The value.
    pub(super) body: Body,
}

/// Content of a value.
#[derive(Debug)]
pub(crate) enum Body {
    /// Keys in the order of the text; one may stand twice.
    Object(Vec<Member>),
    /// Values in order.
    Array(Vec<Node>),
    /// Anything else.
    Scalar(Value),
    /// A number that no type can hold.
    HugeNumber,
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

/// JSON with comments and trailing commas, and nothing else besides.
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

/// Reads a text; `None` only besides a fault.
pub(crate) fn from_text(text: &str, findings: &mut Findings<'_>) -> Option<Node> {
    let root = Path::default();
    if text.len() > DOCUMENT_MAX_BYTES {
        findings.add(ErrorCode::OutOfRange, &root, size_message(text.len()));
        return None;
    }
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &OPTIONS) {
        Ok(parsed) => parsed,
        Err(error) => {
            let offset = error.range().start;
            findings.add_at(
                ErrorCode::BadSyntax,
                &root,
                offset,
                error.kind().to_string(),
            );
            return None;
        }
    };
    let Some(value) = parsed.value else {
        findings.add(ErrorCode::BadSyntax, &root, "the document is empty");
        return None;
    };
    let mut builder = Builder::default();
    let node = builder.build_ast(&value, 0);
    builder.finish(node, findings)
}

/// Takes a decoded document; `None` only besides a fault.
pub(crate) fn from_value(value: &Value, findings: &mut Findings<'_>) -> Option<Node> {
    let mut builder = Builder::default();
    let node = builder.build_value(value, 0);
    let node = builder.finish(node, findings)?;
    // The text is made only once the depth is known to be bounded.
    let bytes = value.to_string().len();
    if bytes > DOCUMENT_MAX_BYTES {
        findings.add(ErrorCode::OutOfRange, &Path::default(), size_message(bytes));
        return None;
    }
    Some(node)
}

fn size_message(bytes: usize) -> String {
    format!("the document has {bytes} bytes; at most {DOCUMENT_MAX_BYTES} are taken")
}

/// Counts what it builds and stops at the first bound broken.
#[derive(Debug, Default)]
struct Builder {
    values: usize,
    broken: Option<(usize, String)>,
}

impl Builder {
    fn finish(self, node: Node, findings: &mut Findings<'_>) -> Option<Node> {
        let Some((offset, message)) = self.broken else {
            return Some(node);
        };
        findings.add_at(ErrorCode::OutOfRange, &Path::default(), offset, message);
        None
    }

    fn build_ast(&mut self, value: &ast::Value<'_>, depth: usize) -> Node {
        let offset = value.range().start;
        if !self.admit(offset, depth) {
            return Node::null(offset);
        }
        let body = match value {
            ast::Value::StringLit(text) => {
                Body::Scalar(Value::String(text.value.clone().into_owned()))
            }
            ast::Value::NumberLit(number) => read_number(number.value),
            ast::Value::BooleanLit(flag) => Body::Scalar(Value::Bool(flag.value)),
            ast::Value::NullKeyword(_) => Body::Scalar(Value::Null),
            ast::Value::Array(array) => {
                let nodes = array.elements.iter();
                Body::Array(nodes.map(|node| self.build_ast(node, depth + 1)).collect())
            }
            ast::Value::Object(object) => {
                let members = object.properties.iter();
                Body::Object(members.map(|member| self.member(member, depth)).collect())
            }
        };
        Node { offset, body }
    }

    fn member(&mut self, member: &ast::ObjectProp<'_>, depth: usize) -> Member {
        let offset = member.range.start;
        let name = self.name(member.name.as_str(), offset);
        let node = self.build_ast(&member.value, depth + 1);
        Member { name, offset, node }
    }

    fn build_value(&mut self, value: &Value, depth: usize) -> Node {
        if !self.admit(0, depth) {
            return Node::null(0);
        }
        let body = match value {
            Value::Array(values) => {
                let nodes = values.iter();
                Body::Array(
                    nodes
                        .map(|value| self.build_value(value, depth + 1))
                        .collect(),
                )
            }
            Value::Object(map) => {
                let members = map.iter().map(|(name, value)| Member {
                    name: self.name(name, 0),
                    offset: 0,
                    node: self.build_value(value, depth + 1),
                });
                Body::Object(members.collect())
            }
            scalar => Body::Scalar(scalar.clone()),
        };
        Node { offset: 0, body }
    }

    /// Counts a value; false once a bound is broken.
    fn admit(&mut self, offset: usize, depth: usize) -> bool {
        self.values += 1;
        if self.broken.is_none() && self.values > VALUES_MAX {
            let message = format!("the document has more than {VALUES_MAX} values");
            self.broken = Some((offset, message));
        }
        if self.broken.is_none() && depth >= DEPTH_MAX {
            let message = format!("values are nested more than {DEPTH_MAX} deep");
            self.broken = Some((offset, message));
        }
        self.broken.is_none()
    }

    /// Takes a key if its length is bounded.
    ///
    /// Each value's path holds the keys around it: a key of half a megabyte
    /// around ten thousand values would take gigabytes.
    fn name(&mut self, name: &str, offset: usize) -> String {
        if name.len() <= NAME_MAX_BYTES {
            return name.to_owned();
        }
        if self.broken.is_none() {
            let message = format!("a key is longer than {NAME_MAX_BYTES} bytes");
            self.broken = Some((offset, message));
        }
        String::new()
    }
}

impl Node {
    const fn null(offset: usize) -> Self {
        Self {
            offset,
            body: Body::Scalar(Value::Null),
        }
    }
}

fn read_number(text: &str) -> Body {
    match serde_json::Number::from_str(text) {
        Ok(number) => Body::Scalar(Value::Number(number)),
        Err(_) => Body::HugeNumber,
    }
}
