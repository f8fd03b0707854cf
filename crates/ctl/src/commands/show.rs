//! `show`: the document of a revision.

use base::Revision;

use super::platform;
use crate::head::read_head;
use crate::options::ShowOptions;
use crate::{CtlError, Exit, Report};

/// Prints a revision as a document that can be edited and published again.
///
/// The comment in its first line keeps the revision in sight: it is what
/// `publish --base` needs.
pub(super) async fn run(options: &ShowOptions) -> Result<Report, CtlError> {
    let head = read_head(&platform(options.platform)).await?;
    let revision = options.revision.map_or(head.revision(), Revision);
    if revision == Revision(0) {
        return Err(CtlError::NothingPublished);
    }
    let document = head.document_at(revision)?;
    let mut report = Report::json(&document, Exit::Ok);
    report
        .text
        .insert_str(0, &format!("// revision {revision}\n"));
    Ok(report)
}
