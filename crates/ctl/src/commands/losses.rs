//! `losses`: where requests are lost, from the logs of entries.

use crate::losses::losses;
use crate::options::LossesOptions;
use crate::{CtlError, Exit, Report};

/// Adds up what the logs tell. Logs without a request are most likely not those that
/// were meant, so that is no success.
pub(super) fn run(options: &LossesOptions) -> Result<Report, CtlError> {
    let losses = losses(&options.log, options.slice_ms)?;
    if losses.outcomes.is_empty() {
        let none = format!(
            "no line tells of a request; {} lines could not be read",
            losses.unread
        );
        return Ok(Report::lines([none], Exit::Faults));
    }
    if options.json {
        return Ok(Report::json(&losses, Exit::Ok));
    }
    Ok(Report::lines(losses.told(), Exit::Ok))
}
