//! `diff`: what publishing a file would change.

use conf::check_fleet;

use super::{faults_report, platform, read_file};
use crate::changes::changes;
use crate::head::read_head;
use crate::options::DiffOptions;
use crate::{CtlError, Exit, Report};

/// Compares a file with the head.
pub(super) async fn run(options: &DiffOptions) -> Result<Report, CtlError> {
    let text = read_file(&options.file)?;
    let document = match check_fleet(&text) {
        Ok((_, document)) => document,
        Err(faults) => {
            let name = options.file.display().to_string();
            return Ok(faults_report(&name, &faults, options.json));
        }
    };
    let head = read_head(&platform(options.platform)).await?;
    let changes = changes(head.document(), &document);
    if options.json {
        return Ok(Report::json(&changes, Exit::Ok));
    }
    let revision = head.revision();
    let mut lines = vec![match changes.len() {
        0 => format!("no change from revision {revision}"),
        1 => format!("1 change from revision {revision}"),
        count => format!("{count} changes from revision {revision}"),
    }];
    lines.extend(changes.iter().map(crate::changes::Change::line));
    Ok(Report::lines(lines, Exit::Ok))
}
