//! Checks documents and reports all their errors together.
//!
//! A document passes three stages: it is parsed into a tree of bounded size, the
//! tree is validated against the schema ([`crate::document`]), and [`crate::rules`]
//! checks ranges, references and required keys. Each stage works on the part that
//! the previous one found valid, so one wrong key does not hide other errors.
//! Errors that only follow from one already reported are left out.

use base::ErrorCode;
use schema::settings::{AgentSettings, EntrySettings, Fleet};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::document::{
    Diagnostic, DiagnosticSink, Node, ValuePath, from_value, parse_text, retain_valid,
};
use crate::{defaults, rules};

/// Checks the text of a fleet configuration: JSON with comments.
///
/// Returns the decoded configuration and the document without comments, which
/// is the form that is published.
///
/// # Errors
///
/// The errors of the document in the order of the text, at most
/// [`DIAGNOSTICS_MAX`](crate::DIAGNOSTICS_MAX) of them.
pub fn check_fleet(text: &str) -> Result<(Fleet, Value), Vec<Diagnostic>> {
    check_text(text, "Fleet", rules::check_fleet)
}

/// Checks the settings of an entry and fills in the defaults.
///
/// # Errors
///
/// The errors of the document, as for [`check_fleet`].
pub fn check_entry_settings(text: &str) -> Result<EntrySettings, Vec<Diagnostic>> {
    let (mut settings, _) =
        check_text(text, "EntrySettings", rules::check_entry_settings)?;
    defaults::fill_entry_settings(&mut settings);
    Ok(settings)
}

/// Checks the settings of an agent and fills in the defaults.
///
/// # Errors
///
/// The errors of the document, as for [`check_fleet`].
pub fn check_agent_settings(text: &str) -> Result<AgentSettings, Vec<Diagnostic>> {
    let (mut settings, _) =
        check_text(text, "AgentSettings", rules::check_agent_settings)?;
    defaults::fill_agent_settings(&mut settings);
    Ok(settings)
}

/// Checks a decoded fleet configuration, such as the result of a merge patch.
///
/// The diagnostics have no line or column, since there is no text. An empty list
/// means that the document may be published.
pub fn check_fleet_value(value: &Value) -> Vec<Diagnostic> {
    let mut sink = DiagnosticSink::without_text();
    let node = from_value(value, &mut sink);
    if let Some(node) = node {
        validate_tree::<Fleet>(&node, "Fleet", rules::check_fleet, &mut sink);
    }
    sink.into_diagnostics()
}

fn check_text<T: DeserializeOwned>(
    text: &str,
    message_name: &str,
    rules: fn(&T, &mut DiagnosticSink<'_>),
) -> Result<(T, Value), Vec<Diagnostic>> {
    let mut sink = DiagnosticSink::for_text(text);
    let checked = parse_text(text, &mut sink)
        .and_then(|node| validate_tree(&node, message_name, rules, &mut sink));
    let diagnostics = sink.into_diagnostics();
    match checked {
        Some(checked) if diagnostics.is_empty() => Ok(checked),
        _ => Err(diagnostics),
    }
}

/// Validates a tree against the schema and the rules. Returns `None` only if an
/// error was reported.
fn validate_tree<T: DeserializeOwned>(
    node: &Node,
    message_name: &str,
    rules: fn(&T, &mut DiagnosticSink<'_>),
    sink: &mut DiagnosticSink<'_>,
) -> Option<(T, Value)> {
    let kept = retain_valid(node, message_name, sink);
    // The retained part matches the schema, so decoding fails only if the field
    // table and the generated types differ. That is reported: a bare `None` would
    // reject the document without an explanation.
    match serde_json::from_value::<T>(kept.clone()) {
        Ok(decoded) => {
            rules(&decoded, sink);
            Some((decoded, kept))
        }
        Err(error) => {
            let message = format!("does not match the schema: {error}");
            sink.report(ErrorCode::WrongType, &ValuePath::default(), message);
            None
        }
    }
}
