//! What a document means against the head that the platform holds.

use base::{ErrorCode, Revision};
use conf::{Diagnostic, check_fleet_value, merge_patch};
use serde::Serialize;
use serde_json::Value;

use crate::changes::{Change, changes, overlaps};
use crate::head::Head;

/// Largest value that the platform holds.
const OBJECT_MAX_BYTES: usize = 1_000_000;

/// What the operator wants published.
#[derive(Debug, Clone)]
pub struct Request {
    /// The whole document, already checked.
    pub document: Value,
    /// Revision that the document was made from; the head if not given.
    pub base: Option<Revision>,
    /// Whether to go on from a newer head if nothing overlaps.
    pub rebase: bool,
}

/// A change ready to be written.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// Revision that it becomes.
    pub revision: Revision,
    /// Merge patch against the document of the revision before.
    pub patch: Vec<u8>,
    /// Document of the new revision.
    pub document: Value,
    /// What it changes.
    pub changes: Vec<Change>,
}

/// Why a document is not published over a newer head.
#[derive(Debug, Clone, Serialize)]
pub struct Conflict {
    /// Revision that the document was made from.
    pub base: u64,
    /// Newest revision.
    pub head: u64,
    /// What others changed since.
    pub theirs: Vec<Change>,
    /// Paths that both changed, and differently.
    pub overlaps: Vec<String>,
}

/// What a document means against a head.
#[derive(Debug)]
pub enum Verdict {
    /// The head has all of it already.
    Unchanged,
    /// It can be written.
    Write(Proposal),
    /// Others published since, and the operator has to look.
    Conflict(Conflict),
    /// Together with what others published it has faults.
    Faults(Vec<Diagnostic>),
}

/// Revision that a document was made from.
#[derive(Debug, Clone)]
pub(super) struct Base {
    /// Its number.
    pub(super) revision: Revision,
    /// Its document.
    pub(super) document: Value,
}

/// Judges a request against the head.
pub(super) fn judge(request: &Request, base: &Base, head: &Head) -> Verdict {
    let ours = merge_patch::diff(&base.document, &request.document);
    let moved = head.revision() != base.revision;
    if moved && request.document != *head.document() {
        let theirs = merge_patch::diff(&base.document, head.document());
        let conflict = Conflict {
            base: base.revision.0,
            head: head.revision().0,
            theirs: changes(&base.document, head.document()),
            overlaps: overlaps(&ours, &theirs),
        };
        // Without this, a change made from an old document would silently take
        // back what another operator published since.
        if !request.rebase || !conflict.overlaps.is_empty() {
            return Verdict::Conflict(conflict);
        }
    }
    let mut document = head.document().clone();
    merge_patch::apply(&mut document, &ours);
    propose(document, head)
}

/// Two changes that are right each for itself may be wrong together, such as a
/// model removed by one and named by the other's profile. So the document that
/// the patch leads to is checked, and not the operator's own.
fn propose(document: Value, head: &Head) -> Verdict {
    if document == *head.document() {
        return Verdict::Unchanged;
    }
    let mut faults = check_fleet_value(&document);
    let patch = merge_patch::diff(head.document(), &document);
    let patch = patch.to_string().into_bytes();
    if patch.len() > OBJECT_MAX_BYTES {
        faults.push(too_large(patch.len()));
    }
    if !faults.is_empty() {
        return Verdict::Faults(faults);
    }
    Verdict::Write(Proposal {
        revision: Revision(head.revision().0.saturating_add(1)),
        patch,
        changes: changes(head.document(), &document),
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
