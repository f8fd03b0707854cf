//! Checking of documents: all faults in one go.
//!
//! A document passes three stages. `node` reads the text into a bounded tree,
//! `shape` holds the tree against the generated table of settings fields, and
//! `rules` looks at the meaning of what has the right shape. A stage works on
//! what the one before could keep, so one wrong key does not hide the others,
//! and what follows only from a fault already told is left out.

mod findings;
mod node;
mod path;
mod shape;
mod spelling;

pub(crate) use findings::Findings;
pub(crate) use path::Path;
pub(crate) use shape::quote;

use base::Code;
use schema::settings::{AgentSettings, EntrySettings, Fleet};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::fmt;

use crate::rules;
use node::Node;

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
pub const FAULTS_MAX: usize = 100;

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// What kind of fault.
    pub code: Code,
    /// Line, counted from 1; 0 for a document that has no text.
    pub line: u32,
    /// Character in the line, counted from 1; 0 without a text.
    pub column: u32,
    /// Where in the document, such as `models.oracle-a.size_mib`.
    pub path: String,
    /// What is wrong and what would be right, in one sentence.
    pub message: String,
}

impl fmt::Display for Fault {
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

/// Checks a fleet configuration as an operator writes it.
///
/// Returns the decoded configuration and the document without comments, which
/// is what is published.
///
/// # Errors
///
/// All faults of the document in the order of the text, at most
/// [`FAULTS_MAX`].
pub fn check_fleet(text: &str) -> Result<(Fleet, Value), Vec<Fault>> {
    check_text(text, "Fleet", rules::fleet)
}

/// Checks the settings of an entry and fills in the defaults.
///
/// # Errors
///
/// All faults of the document, as for [`check_fleet`].
pub fn check_entry_settings(text: &str) -> Result<EntrySettings, Vec<Fault>> {
    let (mut settings, _) = check_text(text, "EntrySettings", rules::entry)?;
    crate::defaults::entry_settings(&mut settings);
    Ok(settings)
}

/// Checks the settings of an agent and fills in the defaults.
///
/// # Errors
///
/// All faults of the document, as for [`check_fleet`].
pub fn check_agent_settings(text: &str) -> Result<AgentSettings, Vec<Fault>> {
    let (mut settings, _) = check_text(text, "AgentSettings", rules::agent)?;
    crate::defaults::agent_settings(&mut settings);
    Ok(settings)
}

/// Checks a fleet configuration that was put together from a patch.
///
/// The faults carry no line or column. An empty list means that the document
/// may be published.
pub fn check_document(value: &Value) -> Vec<Fault> {
    let mut findings = Findings::without_text();
    let node = node::from_value(value, &mut findings);
    if let Some(node) = node {
        check_node::<Fleet>(&node, "Fleet", rules::fleet, &mut findings);
    }
    findings.into_faults()
}

fn check_text<T: DeserializeOwned>(
    text: &str,
    shape: &str,
    rules: fn(&T, &mut Findings<'_>),
) -> Result<(T, Value), Vec<Fault>> {
    let mut findings = Findings::of_text(text);
    let checked = node::from_text(text, &mut findings)
        .and_then(|node| check_node(&node, shape, rules, &mut findings));
    let faults = findings.into_faults();
    match checked {
        Some(checked) if faults.is_empty() => Ok(checked),
        _ => Err(faults),
    }
}

/// Runs the shape and the rules over a tree; `None` only besides a fault.
fn check_node<T: DeserializeOwned>(
    node: &Node,
    shape: &str,
    rules: fn(&T, &mut Findings<'_>),
    findings: &mut Findings<'_>,
) -> Option<(T, Value)> {
    let kept = shape::keep_known(node, shape, findings);
    // What was kept has the schema's shape, so decoding fails only where the
    // table and the generated types differ. That is told as a fault, since a
    // silent `None` would accept nothing and explain nothing.
    match serde_json::from_value::<T>(kept.clone()) {
        Ok(decoded) => {
            rules(&decoded, findings);
            Some((decoded, kept))
        }
        Err(error) => {
            let message = format!("does not fit the schema: {error}");
            findings.add(Code::WrongType, &Path::default(), message);
            None
        }
    }
}
