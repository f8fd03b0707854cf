//! `publish`: makes a document the next revision.

use base::Revision;
use conf::check_fleet;
use plat::ObjectApi;
use serde::Serialize;
use std::time::Duration;
use tokio::time::{Instant, sleep};

use super::{faults_report, platform, read_file};
use crate::changes::Change;
use crate::members::{MemberLine, statuses, targets};
use crate::options::PublishOptions;
use crate::publish::{Conflict, Outcome, Request, publish};
use crate::{CtlError, Exit, Report};

/// Pause between two looks at where the revision is in force.
const WAIT_PAUSE: Duration = Duration::from_millis(200);

/// What programs read of an accepted or unchanged document.
#[derive(Debug, Serialize)]
struct Published<'a> {
    revision: u64,
    changes: &'a [Change],
    /// Processes, if they were waited for.
    members: &'a [MemberLine],
    in_force_everywhere: Option<bool>,
}

/// Publishes a file.
pub(super) async fn run(options: &PublishOptions) -> Result<Report, CtlError> {
    let text = read_file(&options.file)?;
    let name = options.file.display().to_string();
    let document = match check_fleet(&text) {
        Ok((_, document)) => document,
        Err(faults) => return Ok(faults_report(&name, &faults, options.json)),
    };
    let request = Request {
        document,
        base: options.base.map(Revision),
        rebase: options.rebase,
    };
    let platform = platform(options.platform);
    match publish(&platform, request).await {
        Outcome::Accepted {
            revision,
            changes,
            snapshot_failed,
        } => {
            let mut notes = vec![format!("revision {revision} is accepted")];
            notes.extend(changes.iter().map(Change::line));
            if snapshot_failed {
                let note = "the snapshot was not written; a later publish writes it";
                notes.push(note.to_owned());
            }
            finish(&platform, options, revision, notes, &changes).await
        }
        Outcome::Unchanged(revision) => {
            let notes = vec![format!("no change: revision {revision} has all of it")];
            finish(&platform, options, revision, notes, &[]).await
        }
        Outcome::Conflict(conflict) => Ok(conflict_report(&conflict, options.json)),
        Outcome::Faults(faults) => Ok(faults_report(&name, &faults, options.json)),
        Outcome::Failed(error) => Err(error),
        Outcome::Unknown(revision) => Ok(unknown_report(revision)),
    }
}

async fn finish(
    platform: &dyn ObjectApi,
    options: &PublishOptions,
    revision: Revision,
    mut notes: Vec<String>,
    changes: &[Change],
) -> Result<Report, CtlError> {
    let mut members = Vec::new();
    let mut everywhere = None;
    if options.wait {
        members = wait(platform, options, revision).await;
        let all = in_force(&members, revision);
        everywhere = Some(all);
        notes.extend(super::status::table(&members));
        notes.push(match (all, members.is_empty()) {
            (true, _) => format!("revision {revision} is in force everywhere"),
            (false, true) => "no process was found to wait for".to_owned(),
            (false, false) => format!("revision {revision} is not in force everywhere"),
        });
    }
    let exit = match everywhere {
        Some(false) => Exit::NotEverywhere,
        _ => Exit::Ok,
    };
    if options.json {
        let published = Published {
            revision: revision.0,
            changes,
            members: &members,
            in_force_everywhere: everywhere,
        };
        return Ok(Report::json(&published, exit));
    }
    Ok(Report::lines(notes, exit))
}

/// Looks until all processes have the revision, or the time is over.
///
/// The list is read anew each time: a process that has gone is waited for no
/// longer than it stays registered. A platform that has gone away since does
/// not undo the acceptance, so it is only a reason to look again.
async fn wait(
    platform: &dyn ObjectApi,
    options: &PublishOptions,
    revision: Revision,
) -> Vec<MemberLine> {
    let until = Instant::now() + Duration::from_millis(options.wait_ms);
    let mut seen = Vec::new();
    loop {
        if let Ok(targets) = targets(Some(platform), &options.entry).await {
            seen = statuses(&targets).await;
        }
        if in_force(&seen, revision) || Instant::now() >= until {
            return seen;
        }
        sleep(WAIT_PAUSE).await;
    }
}

/// Whether all processes have the revision; where none is known, none has.
fn in_force(members: &[MemberLine], revision: Revision) -> bool {
    !members.is_empty() && members.iter().all(|line| line.has_revision(revision.0))
}

fn conflict_report(conflict: &Conflict, json: bool) -> Report {
    if json {
        return Report::json(conflict, Exit::Conflict);
    }
    let Conflict { base, head, .. } = conflict;
    let mut lines = vec![format!(
        "conflict: the document was made from revision {base}, and {head} was accepted \
         since; nothing was published"
    )];
    lines.extend(conflict.theirs.iter().map(Change::line));
    if conflict.overlaps.is_empty() {
        let advice = "no change overlaps: `--rebase` publishes on top of these";
        lines.push(advice.to_owned());
    } else {
        let overlaps = conflict.overlaps.join(", ");
        lines.push(format!(
            "both changed {overlaps}: bring the file up to date"
        ));
    }
    Report::lines(lines, Exit::Conflict)
}

/// Running the same command again settles it: a change that was accepted is
/// found as such, since the object's bytes are the same.
fn unknown_report(revision: Revision) -> Report {
    let line = format!(
        "not known: the platform did not say whether revision {revision} was accepted; \
         run the same command again to find out"
    );
    Report::lines([line], Exit::Unknown)
}
