//! Compares a document with the newest revision and decides what to write.

use base::{ErrorCode, Revision};
use conf::{Diagnostic, check_fleet_value, merge_patch};
use serde::Serialize;
use serde_json::Value;

use crate::changes::{Change, diff_documents, overlapping_paths};
use crate::head::ConfigHead;

/// Largest value of an object on the platform, in bytes.
const OBJECT_MAX_BYTES: usize = 1_000_000;

/// A document to publish.
#[derive(Debug, Clone)]
pub struct PublishRequest {
    /// The whole document, which passed the checks.
    pub document: Value,
    /// Revision that the document was made from; the newest one if not given.
    pub base: Option<Revision>,
    /// Whether to apply the changes to a newer revision if none of them
    /// overlaps with others' changes.
    pub rebase: bool,
}

/// A change that can be written as the next revision.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// Revision of the change.
    pub revision: Revision,
    /// Merge patch against the document of the previous revision, as JSON.
    pub patch: Vec<u8>,
    /// Document of the new revision.
    pub document: Value,
    /// Values that it changes.
    pub changes: Vec<Change>,
}

/// Why a document was not published on top of a newer revision.
#[derive(Debug, Clone, Serialize)]
pub struct Conflict {
    /// Revision that the document was made from.
    pub base: u64,
    /// Newest revision.
    pub head: u64,
    /// Values that others changed since.
    pub theirs: Vec<Change>,
    /// Paths that both sides changed to different values.
    pub overlaps: Vec<String>,
}

/// Result of comparing a document with the newest revision.
#[derive(Debug)]
pub enum Evaluation {
    /// The newest revision already has this document.
    Unchanged,
    /// The change can be written.
    Write(Proposal),
    /// Others published since, so the operator has to decide.
    Conflict(Conflict),
    /// The document is invalid, maybe only in combination with others' changes.
    Invalid(Vec<Diagnostic>),
}

/// Revision that a document was made from.
#[derive(Debug, Clone)]
pub(super) struct BaseRevision {
    /// Number of the revision.
    pub(super) revision: Revision,
    /// Document of the revision.
    pub(super) document: Value,
}

/// Compares a request with the newest revision.
pub(super) fn evaluate(
    request: &PublishRequest,
    base: &BaseRevision,
    head: &ConfigHead,
) -> Evaluation {
    let our_patch = merge_patch::diff(&base.document, &request.document);
    let head_changed = head.revision() != base.revision;
    if head_changed && request.document != *head.document() {
        let their_patch = merge_patch::diff(&base.document, head.document());
        let conflict = Conflict {
            base: base.revision.0,
            head: head.revision().0,
            theirs: diff_documents(&base.document, head.document()),
            overlaps: overlapping_paths(&our_patch, &their_patch),
        };
        // Otherwise a document made from an old revision would silently revert
        // what others published since.
        if !request.rebase || !conflict.overlaps.is_empty() {
            return Evaluation::Conflict(conflict);
        }
    }
    let mut document = head.document().clone();
    merge_patch::apply(&mut document, &our_patch);
    propose(document, head)
}

/// Two changes that are valid alone can be invalid together, for instance if
/// one removes a model and the other names it in a profile. So the merged
/// document is checked, not the operator's file.
fn propose(document: Value, head: &ConfigHead) -> Evaluation {
    if document == *head.document() {
        return Evaluation::Unchanged;
    }
    let mut diagnostics = check_fleet_value(&document);
    let patch = merge_patch::diff(head.document(), &document);
    let patch = patch.to_string().into_bytes();
    if patch.len() > OBJECT_MAX_BYTES {
        diagnostics.push(too_large(patch.len()));
    }
    if !diagnostics.is_empty() {
        return Evaluation::Invalid(diagnostics);
    }
    Evaluation::Write(Proposal {
        revision: Revision(head.revision().0.saturating_add(1)),
        patch,
        changes: diff_documents(head.document(), &document),
        document,
    })
}

fn too_large(bytes: usize) -> Diagnostic {
    Diagnostic {
        code: ErrorCode::OutOfRange,
        line: 0,
        column: 0,
        path: String::new(),
        message: format!(
            "the change takes {bytes} bytes, more than {OBJECT_MAX_BYTES}; publish it \
             in parts"
        ),
    }
}
