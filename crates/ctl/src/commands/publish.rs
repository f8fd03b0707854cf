//! The command `publish`: makes a document the next revision.

use base::Revision;
use conf::check_fleet;
use plat::ObjectApi;
use serde::Serialize;
use std::time::Duration;
use tokio::time::{Instant, sleep};

use super::{diagnostics_report, platform, read_file};
use crate::changes::Change;
use crate::members::{MemberReport, find_processes, query_statuses};
use crate::options::PublishOptions;
use crate::publish::{Conflict, PublishOutcome, PublishRequest, publish};
use crate::{CtlError, ExitStatus, Report};

/// Pause between two queries of the processes' revisions.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// JSON output for an accepted or unchanged document.
#[derive(Debug, Serialize)]
struct PublishedJson<'a> {
    revision: u64,
    changes: &'a [Change],
    /// Status of the processes, if the command waited for them.
    members: &'a [MemberReport],
    in_force_everywhere: Option<bool>,
}

/// Publishes a file and optionally waits until it is in force.
pub(super) async fn run(options: &PublishOptions) -> Result<Report, CtlError> {
    let text = read_file(&options.file)?;
    let name = options.file.display().to_string();
    let document = match check_fleet(&text) {
        Ok((_, document)) => document,
        Err(diagnostics) => {
            return Ok(diagnostics_report(&name, &diagnostics, options.json));
        }
    };
    let request = PublishRequest {
        document,
        base: options.base.map(Revision),
        rebase: options.rebase,
    };
    let platform = platform(options.platform);
    match publish(&platform, request).await {
        PublishOutcome::Accepted {
            revision,
            changes,
            snapshot_failed,
        } => {
            let mut lines = vec![format!("revision {revision} is accepted")];
            lines.extend(changes.iter().map(Change::to_line));
            if snapshot_failed {
                let warning = "the snapshot was not written; a later publish writes it";
                lines.push(warning.to_owned());
            }
            wait_and_report(&platform, options, revision, lines, &changes).await
        }
        PublishOutcome::Unchanged(revision) => {
            let lines = vec![format!("no change: revision {revision} has all of it")];
            wait_and_report(&platform, options, revision, lines, &[]).await
        }
        PublishOutcome::Conflict(conflict) => {
            Ok(conflict_report(&conflict, options.json))
        }
        PublishOutcome::Invalid(diagnostics) => {
            Ok(diagnostics_report(&name, &diagnostics, options.json))
        }
        PublishOutcome::Failed(error) => Err(error),
        PublishOutcome::Unknown(revision) => Ok(unknown_report(revision)),
    }
}

async fn wait_and_report(
    platform: &dyn ObjectApi,
    options: &PublishOptions,
    revision: Revision,
    mut lines: Vec<String>,
    changes: &[Change],
) -> Result<Report, CtlError> {
    let mut members = Vec::new();
    let mut in_force_everywhere = None;
    if options.wait {
        members = wait_for_revision(platform, options, revision).await;
        let all_in_force = in_force_in_all(&members, revision);
        in_force_everywhere = Some(all_in_force);
        lines.extend(super::status::table(&members));
        lines.push(match (all_in_force, members.is_empty()) {
            (true, _) => format!("revision {revision} is in force everywhere"),
            (false, true) => "no process was found to wait for".to_owned(),
            (false, false) => format!("revision {revision} is not in force everywhere"),
        });
    }
    let exit_status = match in_force_everywhere {
        Some(false) => ExitStatus::NotInForceEverywhere,
        _ => ExitStatus::Ok,
    };
    if options.json {
        let published = PublishedJson {
            revision: revision.0,
            changes,
            members: &members,
            in_force_everywhere,
        };
        return Ok(Report::json(&published, exit_status));
    }
    Ok(Report::lines(lines, exit_status))
}

/// Queries all processes until they have the revision or the time is over.
///
/// The list of processes is read again each time, so a process that ended is
/// waited for only while it is registered. If the platform becomes unreachable
/// meanwhile, the change stays accepted, and the query is simply repeated.
async fn wait_for_revision(
    platform: &dyn ObjectApi,
    options: &PublishOptions,
    revision: Revision,
) -> Vec<MemberReport> {
    let deadline = Instant::now() + Duration::from_millis(options.wait_ms);
    let mut members = Vec::new();
    loop {
        if let Ok(processes) = find_processes(Some(platform), &options.entry).await {
            members = query_statuses(&processes).await;
        }
        if in_force_in_all(&members, revision) || Instant::now() >= deadline {
            return members;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Whether all processes have the revision; false if no process is known.
fn in_force_in_all(members: &[MemberReport], revision: Revision) -> bool {
    !members.is_empty() && members.iter().all(|member| member.has_revision(revision.0))
}

fn conflict_report(conflict: &Conflict, json: bool) -> Report {
    if json {
        return Report::json(conflict, ExitStatus::Conflict);
    }
    let Conflict { base, head, .. } = conflict;
    let mut lines = vec![format!(
        "conflict: the document was made from revision {base}, and {head} was accepted \
         since; nothing was published"
    )];
    lines.extend(conflict.theirs.iter().map(Change::to_line));
    if conflict.overlaps.is_empty() {
        let advice = "no change overlaps: `--rebase` publishes on top of these";
        lines.push(advice.to_owned());
    } else {
        let overlaps = conflict.overlaps.join(", ");
        lines.push(format!("both sides changed {overlaps}: update the file"));
    }
    Report::lines(lines, ExitStatus::Conflict)
}

/// Running the same command again settles the outcome: if the change was
/// accepted, the newest revision has it.
fn unknown_report(revision: Revision) -> Report {
    let line = format!(
        "unknown: the platform did not confirm whether revision {revision} was accepted; \
         run the same command again to find out"
    );
    Report::lines([line], ExitStatus::Unknown)
}
