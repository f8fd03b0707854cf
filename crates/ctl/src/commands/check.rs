//! The command `check`: reports all faults of a document.

use conf::{Diagnostic, check_agent_settings, check_entry_settings, check_fleet};

use super::{diagnostics_report, read_file};
use crate::options::{CheckOptions, DocumentKind};
use crate::{CtlError, ExitStatus, Report};

/// An empty JSON list, for a document without faults.
const NO_DIAGNOSTICS: [(); 0] = [];

/// Checks a file without contacting any process.
pub(super) fn run(options: &CheckOptions) -> Result<Report, CtlError> {
    let text = read_file(&options.file)?;
    let name = options.file.display().to_string();
    Ok(match check(options.kind, &text) {
        Ok(()) if options.json => Report::json(&NO_DIAGNOSTICS, ExitStatus::Ok),
        Ok(()) => Report::lines([format!("{name}: no faults")], ExitStatus::Ok),
        Err(diagnostics) => diagnostics_report(&name, &diagnostics, options.json),
    })
}

fn check(kind: DocumentKind, text: &str) -> Result<(), Vec<Diagnostic>> {
    match kind {
        DocumentKind::Fleet => check_fleet(text).map(|_| ()),
        DocumentKind::Entry => check_entry_settings(text).map(|_| ()),
        DocumentKind::Agent => check_agent_settings(text).map(|_| ()),
    }
}
