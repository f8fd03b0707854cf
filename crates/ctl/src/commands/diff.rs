//! The command `diff`: shows what publishing a file would change.

use conf::check_fleet;

use super::{diagnostics_report, platform, read_file};
use crate::changes::diff_documents;
use crate::head::read_config_head;
use crate::options::DiffOptions;
use crate::{CtlError, ExitStatus, Report};

/// Compares a file with the newest revision.
pub(super) async fn run(options: &DiffOptions) -> Result<Report, CtlError> {
    let text = read_file(&options.file)?;
    let document = match check_fleet(&text) {
        Ok((_, document)) => document,
        Err(diagnostics) => {
            let name = options.file.display().to_string();
            return Ok(diagnostics_report(&name, &diagnostics, options.json));
        }
    };
    let head = read_config_head(&platform(options.platform)).await?;
    let changes = diff_documents(head.document(), &document);
    if options.json {
        return Ok(Report::json(&changes, ExitStatus::Ok));
    }
    let revision = head.revision();
    let mut lines = vec![match changes.len() {
        0 => format!("no change from revision {revision}"),
        1 => format!("1 change from revision {revision}"),
        count => format!("{count} changes from revision {revision}"),
    }];
    lines.extend(changes.iter().map(crate::changes::Change::to_line));
    Ok(Report::lines(lines, ExitStatus::Ok))
}
