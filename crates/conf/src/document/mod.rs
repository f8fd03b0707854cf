//! Parsing of documents and validation against the schema.
//!
//! `node` parses a text into a tree of bounded size, and `schema` validates the tree
//! against the generated table of settings fields.

mod diagnostic_sink;
mod node;
mod path;
mod schema;
mod suggestion;

pub(crate) use diagnostic_sink::DiagnosticSink;
pub(crate) use node::{Node, from_value, parse_text};
pub(crate) use path::ValuePath;
pub(crate) use schema::{excerpt, retain_valid};

use base::ErrorCode;
use std::fmt;

/// Largest document accepted, in bytes. A platform object holds at most one
/// megabyte, and a snapshot adds an envelope to the document.
pub const DOCUMENT_MAX_BYTES: usize = 900_000;

/// Maximum nesting depth of objects and arrays; the schema needs four levels.
pub const DEPTH_MAX: usize = 16;

/// Maximum number of values in one document, counting objects and arrays.
pub const VALUES_MAX: usize = 50_000;

/// Maximum length of a key or a name.
pub const NAME_MAX_BYTES: usize = 64;

/// Maximum number of diagnostics reported for one document.
pub const DIAGNOSTICS_MAX: usize = 100;

/// One error in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Kind of error.
    pub code: ErrorCode,
    /// Line, counted from 1; 0 if the document was checked without its text.
    pub line: u32,
    /// Character in the line, counted from 1; 0 if there is no text.
    pub column: u32,
    /// Path of the value in the document, such as `models.oracle-a.size_mib`.
    pub path: String,
    /// What is wrong and what is expected, in one sentence.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "{}:{}: ", self.line, self.column)?;
        }
        write!(f, "{}: ", self.code)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}
