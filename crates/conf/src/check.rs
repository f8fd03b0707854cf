//! Checking of documents: all faults in one go.
//!
//! A document passes three stages: it is read into a bounded tree, the tree is held
//! against the schema ([`crate::document`]), and [`crate::rules`] looks at the
//! meaning of what has the right shape. A stage works on what the one before could
//! keep, so one wrong key does not hide the others, and what follows only from a
//! fault already told is left out.

use base::ErrorCode;
use schema::settings::{AgentSettings, EntrySettings, Fleet};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::document::{
    Diagnostic, Findings, Node, Path, from_text, from_value, keep_known,
};
use crate::{defaults, rules};

/// Checks a fleet configuration as an operator writes it.
///
/// Returns the decoded configuration and the document without comments, which
/// is what is published.
///
/// # Errors
///
/// All faults of the document in the order of the text, at most
/// [`DIAGNOSTICS_MAX`](crate::DIAGNOSTICS_MAX).
pub fn check_fleet(text: &str) -> Result<(Fleet, Value), Vec<Diagnostic>> {
    check_text(text, "Fleet", rules::fleet)
}

/// Checks the settings of an entry and fills in the defaults.
///
/// # Errors
///
/// All faults of the document, as for [`check_fleet`].
pub fn check_entry_settings(text: &str) -> Result<EntrySettings, Vec<Diagnostic>> {
    let (mut settings, _) = check_text(text, "EntrySettings", rules::entry)?;
    defaults::entry_settings(&mut settings);
    Ok(settings)
}

/// Checks the settings of an agent and fills in the defaults.
///
/// # Errors
///
/// All faults of the document, as for [`check_fleet`].
pub fn check_agent_settings(text: &str) -> Result<AgentSettings, Vec<Diagnostic>> {
    let (mut settings, _) = check_text(text, "AgentSettings", rules::agent)?;
    defaults::agent_settings(&mut settings);
    Ok(settings)
}

/// Checks a fleet configuration that was put together from a patch.
///
/// The faults carry no line or column. An empty list means that the document
/// may be published.
pub fn check_fleet_value(value: &Value) -> Vec<Diagnostic> {
    let mut findings = Findings::without_text();
    let node = from_value(value, &mut findings);
    if let Some(node) = node {
        check_node::<Fleet>(&node, "Fleet", rules::fleet, &mut findings);
    }
    findings.into_faults()
}

fn check_text<T: DeserializeOwned>(
    text: &str,
    shape: &str,
    rules: fn(&T, &mut Findings<'_>),
) -> Result<(T, Value), Vec<Diagnostic>> {
    let mut findings = Findings::of_text(text);
    let checked = from_text(text, &mut findings)
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
    let kept = keep_known(node, shape, findings);
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
            findings.add(ErrorCode::WrongType, &Path::default(), message);
            None
        }
    }
}
