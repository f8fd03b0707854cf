//! The command `status`: lists all processes in a table.

use super::find_processes;
use crate::members::{MemberReport, MemberStatus, query_statuses};
use crate::options::StatusOptions;
use crate::{CtlError, ExitStatus, Report};

/// Requests the status of all processes.
pub(super) async fn run(options: &StatusOptions) -> Result<Report, CtlError> {
    let processes = find_processes(&options.processes).await?;
    let members = query_statuses(&processes).await;
    let answered = members
        .iter()
        .filter(|member| member.status.is_some())
        .count();
    // A process that ended stays registered for a while, so the command fails
    // only if no process answers.
    let exit_status = if answered == 0 && !members.is_empty() {
        ExitStatus::Unreachable
    } else {
        ExitStatus::Ok
    };
    if options.json {
        return Ok(Report::json(&members, exit_status));
    }
    Ok(Report::lines(table(&members), exit_status))
}

/// Formats the table: a header line and one line for each process.
pub(super) fn table(members: &[MemberReport]) -> Vec<String> {
    let width = members
        .iter()
        .map(|member| member.name.len())
        .max()
        .unwrap_or(0);
    let width = width.max("NAME".len());
    let mut table = vec![format!(
        "{:width$}  {:5}  {:21}  {:>8}  STATE",
        "NAME", "KIND", "ADDRESS", "REVISION"
    )];
    table.extend(members.iter().map(|member| format_row(member, width)));
    table
}

fn format_row(member: &MemberReport, width: usize) -> String {
    let address = member.address.to_string();
    let (kind, revision, state) = match (&member.status, &member.fault) {
        (Some(status), _) => {
            let kind = status.kind.as_str();
            (kind, status.revision.to_string(), state_name(status))
        }
        (None, Some(fault)) => ("", "-".to_owned(), fault.as_str()),
        (None, None) => ("", "-".to_owned(), "not asked"),
    };
    let name = &member.name;
    format!("{name:width$}  {kind:5}  {address:21}  {revision:>8}  {state}")
}

const fn state_name(status: &MemberStatus) -> &'static str {
    match (status.leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}
