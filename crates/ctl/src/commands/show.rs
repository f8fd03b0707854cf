//! The command `show`: prints the document of a revision.

use base::Revision;

use super::platform;
use crate::head::read_config_head;
use crate::options::ShowOptions;
use crate::{CtlError, ExitStatus, Report};

/// Prints a revision as a document that can be edited and published again.
///
/// The comment in the first line names the revision, which `publish --base`
/// needs.
pub(super) async fn run(options: &ShowOptions) -> Result<Report, CtlError> {
    let head = read_config_head(&platform(options.platform)).await?;
    let revision = options.revision.map_or(head.revision(), Revision);
    if revision == Revision(0) {
        return Err(CtlError::NothingPublished);
    }
    let document = head.document_at(revision)?;
    let mut report = Report::json(&document, ExitStatus::Ok);
    report
        .text
        .insert_str(0, &format!("// revision {revision}\n"));
    Ok(report)
}
