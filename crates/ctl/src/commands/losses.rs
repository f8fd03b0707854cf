//! The command `losses`: counts lost requests in the logs of entries.

use crate::losses::analyze;
use crate::options::LossesOptions;
use crate::{CtlError, ExitStatus, Report};

/// Analyzes the given logs. If they have no line about a request, they are most
/// likely the wrong files, so the command does not succeed.
pub(super) fn run(options: &LossesOptions) -> Result<Report, CtlError> {
    let report = analyze(&options.log, options.slice_ms)?;
    if report.outcomes.is_empty() {
        let message = format!(
            "no line tells of a request; {} lines could not be read",
            report.unreadable_lines
        );
        return Ok(Report::lines([message], ExitStatus::Invalid));
    }
    if options.json {
        return Ok(Report::json(&report, ExitStatus::Ok));
    }
    Ok(Report::lines(report.to_lines(), ExitStatus::Ok))
}
