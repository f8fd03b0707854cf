//! Documents and what is found wrong in them.
//!
//! `node` reads a text into a bounded tree, and `shape` holds the tree against the
//! generated table of settings fields.

mod findings;
mod node;
mod path;
mod shape;
mod spelling;

pub(crate) use findings::Findings;
pub(crate) use node::{Node, from_text, from_value};
pub(crate) use path::Path;
pub(crate) use shape::{keep_known, quote};

use base::ErrorCode;
use std::fmt;

/// Largest document taken; the platform's objects hold a megabyte, and a
/// snapshot needs room for its envelope.
pub const DOCUMENT_MAX_BYTES: usize = 900_000;

/// Deepest nesting of objects and arrays; the schema needs four.
pub const DEPTH_MAX: usize = 16;

/// Most values of one document, counting objects and arrays.
pub const VALUES_MAX: usize = 50_000;

/// Longest key or name.
pub const NAME_MAX_BYTES: usize = 64;

/// Most faults told of one document.
pub const DIAGNOSTICS_MAX: usize = 100;

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// What kind of fault.
    pub code: ErrorCode,
    /// Line, counted from 1; 0 for a document that has no text.
    pub line: u32,
    /// Character in the line, counted from 1; 0 without a text.
    pub column: u32,
    /// Where in the document, such as `models.oracle-a.size_mib`.
    pub path: String,
    /// What is wrong and what would be right, in one sentence.
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
