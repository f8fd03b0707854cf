//! `status`: all processes in a table.

use super::reach;
use crate::members::{MemberLine, MemberStatus, statuses};
use crate::options::StatusOptions;
use crate::{CtlError, Exit, Report};

/// Asks all processes for their status.
pub(super) async fn run(options: &StatusOptions) -> Result<Report, CtlError> {
    let targets = reach(&options.reach).await?;
    let lines = statuses(&targets).await;
    let answered = lines.iter().filter(|line| line.status.is_some()).count();
    // A process that has gone stays registered for a while, so one that does
    // not answer is no failure of the command; that none does is.
    let exit = if answered == 0 && !lines.is_empty() {
        Exit::Unreachable
    } else {
        Exit::Ok
    };
    if options.json {
        return Ok(Report::json(&lines, exit));
    }
    Ok(Report::lines(table(&lines), exit))
}

/// The lines of the table, with its head.
pub(super) fn table(lines: &[MemberLine]) -> Vec<String> {
    let width = lines.iter().map(|line| line.name.len()).max().unwrap_or(0);
    let width = width.max("NAME".len());
    let mut table = vec![format!(
        "{:width$}  {:5}  {:21}  {:>8}  STATE",
        "NAME", "KIND", "ADDRESS", "REVISION"
    )];
    table.extend(lines.iter().map(|line| row(line, width)));
    table
}

fn row(line: &MemberLine, width: usize) -> String {
    let address = line.address.to_string();
    let (kind, revision, state) = match (&line.status, &line.fault) {
        (Some(status), _) => {
            let kind = status.kind.as_str();
            (kind, status.revision.to_string(), state(status))
        }
        (None, Some(fault)) => ("", "-".to_owned(), fault.as_str()),
        (None, None) => ("", "-".to_owned(), "not asked"),
    };
    let name = &line.name;
    format!("{name:width$}  {kind:5}  {address:21}  {revision:>8}  {state}")
}

const fn state(status: &MemberStatus) -> &'static str {
    match (status.leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}
