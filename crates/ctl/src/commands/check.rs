//! `check`: all faults of a document.

use conf::{Diagnostic, check_agent_settings, check_entry_settings, check_fleet};

use super::{faults_report, read_file};
use crate::options::{CheckOptions, DocumentKind};
use crate::{CtlError, Exit, Report};

/// An empty list, as programs read it.
const NO_FAULTS: [(); 0] = [];

/// Checks a file.
pub(super) fn run(options: &CheckOptions) -> Result<Report, CtlError> {
    let text = read_file(&options.file)?;
    let name = options.file.display().to_string();
    Ok(match faults(options.kind, &text) {
        Ok(()) if options.json => Report::json(&NO_FAULTS, Exit::Ok),
        Ok(()) => Report::lines([format!("{name}: no faults")], Exit::Ok),
        Err(faults) => faults_report(&name, &faults, options.json),
    })
}

fn faults(kind: DocumentKind, text: &str) -> Result<(), Vec<Diagnostic>> {
    match kind {
        DocumentKind::Fleet => check_fleet(text).map(|_| ()),
        DocumentKind::Entry => check_entry_settings(text).map(|_| ()),
        DocumentKind::Agent => check_agent_settings(text).map(|_| ()),
    }
}
