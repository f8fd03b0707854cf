//! State machine that decides how a document is published; it does no I/O.

use base::{PlatformOp, PlatformResult, Precondition, Revision};
use conf::{Diagnostic, REVISION_KEY_PREFIX, SNAPSHOT_KEY, revision_key};
use prost::Message;
use schema::link::ConfigChanges;

use super::proposal::{
    BaseRevision, Conflict, Evaluation, Proposal, PublishRequest, evaluate,
};
use crate::CtlError;
use crate::changes::Change;
use crate::head::{ConfigHead, READ_ATTEMPTS, SnapshotInfo, StoredObject};

/// Number of revisions after which a new snapshot is written.
const SNAPSHOT_INTERVAL: u64 = 64;

/// Attempts of one read or write while the platform does not answer or refuses
/// it.
const CALL_ATTEMPTS: u32 = READ_ATTEMPTS;

/// Retries of a rebase, each after another operator published first.
const REBASE_LIMIT: u32 = 8;

/// What the caller of the [`Publisher`] does next.
#[derive(Debug)]
pub enum Step {
    /// Make this call and pass its result to [`Publisher::handle`].
    Call(PlatformOp),
    /// The same after a pause, because the call before got no answer or was
    /// refused.
    CallLater(PlatformOp),
    /// Publishing has ended.
    Done(PublishOutcome),
}

/// How publishing ended.
#[derive(Debug)]
pub enum PublishOutcome {
    /// The change was accepted.
    Accepted {
        /// Revision of the change.
        revision: Revision,
        /// Values that it changed.
        changes: Vec<Change>,
        /// A snapshot was due and could not be written; the next publication
        /// will try again.
        snapshot_failed: bool,
    },
    /// The newest revision already has this document.
    Unchanged(Revision),
    /// Others published first; nothing was written.
    Conflict(Conflict),
    /// The document is invalid, maybe only in combination with others' changes;
    /// nothing was written.
    Invalid(Vec<Diagnostic>),
    /// Nothing was written: the platform can't be reached, or its configuration
    /// objects are damaged.
    Failed(CtlError),
    /// It is unknown whether the change was accepted as this revision.
    Unknown(Revision),
}

/// Publishes one document; the crate's documentation lists the invariants.
#[derive(Debug)]
pub struct Publisher {
    request: PublishRequest,
    /// Revision that the document was made from; set when the head was first
    /// read.
    base: Option<BaseRevision>,
    state: State,
    attempts_left: u32,
    rebases_left: u32,
}

#[derive(Debug)]
enum State {
    ReadSnapshot,
    ListChanges(StoredObject),
    Write(PendingWrite),
    ReadBack(PendingWrite),
    WriteSnapshot(PendingWrite),
    Finished,
}

/// A proposal that is being written.
#[derive(Debug)]
struct PendingWrite {
    proposal: Proposal,
    snapshot: Option<SnapshotInfo>,
    /// Whether a write was sent whose effect is not known.
    maybe_written: bool,
}

impl Publisher {
    /// Creates a publisher; [`Publisher::start`] gives the first call.
    pub fn new(request: PublishRequest) -> Self {
        Self {
            request,
            base: None,
            state: State::ReadSnapshot,
            attempts_left: CALL_ATTEMPTS,
            rebases_left: REBASE_LIMIT,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> Step {
        self.enter(State::ReadSnapshot)
    }

    /// Handles the result of the last call and returns the next step.
    pub fn handle(&mut self, result: PlatformResult) -> Step {
        let state = std::mem::replace(&mut self.state, State::Finished);
        match state {
            State::ReadSnapshot => self.on_snapshot(result),
            State::ListChanges(snapshot) => self.on_changes(snapshot, result),
            State::Write(pending) => self.on_write(pending, &result),
            State::ReadBack(pending) => self.on_read_back(pending, result),
            State::WriteSnapshot(pending) => {
                Step::Done(accepted_outcome(pending, &result))
            }
            State::Finished => {
                Step::Done(PublishOutcome::Failed(CtlError::PlatformUnreachable))
            }
        }
    }

    fn on_snapshot(&mut self, result: PlatformResult) -> Step {
        match result {
            PlatformResult::Object(object) => self.enter(State::ListChanges(object)),
            _ => self.retry(State::ReadSnapshot, CtlError::PlatformUnreachable),
        }
    }

    fn on_changes(&mut self, snapshot: StoredObject, result: PlatformResult) -> Step {
        let PlatformResult::Objects(objects, _) = result else {
            return self
                .retry(State::ListChanges(snapshot), CtlError::PlatformUnreachable);
        };
        match ConfigHead::new(&snapshot, &objects) {
            Ok(head) => self.on_head(&head),
            Err(error) => Step::Done(PublishOutcome::Failed(error)),
        }
    }

    fn on_head(&mut self, head: &ConfigHead) -> Step {
        let base = match self.base.take().map_or_else(|| self.initial_base(head), Ok) {
            Ok(base) => base,
            Err(error) => return Step::Done(PublishOutcome::Failed(error)),
        };
        let evaluation = evaluate(&self.request, &base, head);
        self.base = Some(base);
        match evaluation {
            Evaluation::Unchanged => {
                Step::Done(PublishOutcome::Unchanged(head.revision()))
            }
            Evaluation::Conflict(conflict) => {
                Step::Done(PublishOutcome::Conflict(conflict))
            }
            Evaluation::Invalid(diagnostics) => {
                Step::Done(PublishOutcome::Invalid(diagnostics))
            }
            Evaluation::Write(proposal) => self.enter(State::Write(PendingWrite {
                proposal,
                snapshot: head.snapshot(),
                maybe_written: false,
            })),
        }
    }

    /// Without `--base`, the document counts as made from the newest revision
    /// at the first read.
    fn initial_base(&self, head: &ConfigHead) -> Result<BaseRevision, CtlError> {
        let revision = self.request.base.unwrap_or(head.revision());
        let document = head.document_at(revision)?;
        Ok(BaseRevision { revision, document })
    }

    /// The object is created only if it is absent, so repeating a write is
    /// harmless. If an earlier write got no answer, it may still take effect,
    /// even when a later one is refused; only reading back settles that.
    fn on_write(&mut self, mut pending: PendingWrite, result: &PlatformResult) -> Step {
        match result {
            PlatformResult::Written(_) => self.on_accepted(pending),
            PlatformResult::Conflict => {
                self.enter_same_attempts(State::ReadBack(pending))
            }
            PlatformResult::Unanswered => {
                pending.maybe_written = true;
                self.read_back_later(pending)
            }
            _ if pending.maybe_written => self.read_back_later(pending),
            _ => self.retry_unreachable(State::Write(pending)),
        }
    }

    fn on_read_back(&mut self, pending: PendingWrite, result: PlatformResult) -> Step {
        match result {
            // Equal bytes are the same change against the same document, so it
            // is accepted, whoever wrote it.
            PlatformResult::Object(Some((_, value)))
                if value == pending.proposal.patch =>
            {
                self.on_accepted(pending)
            }
            // The object of a revision is never replaced, so this write can't
            // succeed any more.
            PlatformResult::Object(Some(_)) => self.on_superseded(&pending),
            PlatformResult::Object(None) => {
                self.retry_unreachable(State::Write(pending))
            }
            _ => self.retry_unreachable(State::ReadBack(pending)),
        }
    }

    fn on_superseded(&mut self, pending: &PendingWrite) -> Step {
        if self.rebases_left == 0 {
            let conflict = Conflict {
                base: self.base.as_ref().map_or(0, |base| base.revision.0),
                head: pending.proposal.revision.0,
                theirs: Vec::new(),
                overlaps: Vec::new(),
            };
            return Step::Done(PublishOutcome::Conflict(conflict));
        }
        self.rebases_left -= 1;
        self.enter(State::ReadSnapshot)
    }

    fn on_accepted(&mut self, pending: PendingWrite) -> Step {
        let snapshot = pending.snapshot.map_or(0, |snapshot| snapshot.revision.0);
        if pending.proposal.revision.0.saturating_sub(snapshot) < SNAPSHOT_INTERVAL {
            return Step::Done(accepted_outcome(pending, &PlatformResult::Conflict));
        }
        self.enter(State::WriteSnapshot(pending))
    }

    /// Enters a state with the full number of attempts and issues its call.
    fn enter(&mut self, state: State) -> Step {
        self.attempts_left = CALL_ATTEMPTS;
        self.enter_same_attempts(state)
    }

    /// Enters a state with the attempts that are left and issues its call.
    fn enter_same_attempts(&mut self, state: State) -> Step {
        self.state = state;
        Step::Call(self.current_call())
    }

    /// Reads back after a pause. This uses up no attempt: the effect of the
    /// last write must be looked up even if no attempt is left.
    fn read_back_later(&mut self, pending: PendingWrite) -> Step {
        self.state = State::ReadBack(pending);
        Step::CallLater(self.current_call())
    }

    /// Retries a state's call, or reports the platform as unreachable.
    fn retry_unreachable(&mut self, state: State) -> Step {
        let error = CtlError::PlatformUnreachable;
        self.retry(state, error)
    }

    fn retry(&mut self, state: State, error: CtlError) -> Step {
        if self.attempts_left <= 1 {
            return Step::Done(give_up(&state, error));
        }
        self.attempts_left -= 1;
        self.state = state;
        Step::CallLater(self.current_call())
    }

    fn current_call(&self) -> PlatformOp {
        match &self.state {
            State::ReadSnapshot | State::Finished => PlatformOp::Read {
                key: SNAPSHOT_KEY.to_owned(),
            },
            State::ListChanges(_) => PlatformOp::List {
                prefix: REVISION_KEY_PREFIX.to_owned(),
            },
            State::Write(pending) => PlatformOp::Write {
                key: revision_key(pending.proposal.revision),
                precondition: Precondition::Absent,
                value: pending.proposal.patch.clone(),
            },
            State::ReadBack(pending) => PlatformOp::Read {
                key: revision_key(pending.proposal.revision),
            },
            State::WriteSnapshot(pending) => snapshot_op(pending),
        }
    }
}

/// The write of a snapshot replaces only the version that was read before.
/// Otherwise an operator's process that was paused here could replace a newer
/// snapshot by an older one.
fn snapshot_op(pending: &PendingWrite) -> PlatformOp {
    let changes = ConfigChanges {
        snapshot: pending.proposal.document.to_string().into_bytes(),
        base_revision: pending.proposal.revision.0,
        changes: Vec::new(),
    };
    let precondition = pending.snapshot.map_or(Precondition::Absent, |snapshot| {
        Precondition::Version(snapshot.version)
    });
    PlatformOp::Write {
        key: SNAPSHOT_KEY.to_owned(),
        precondition,
        value: changes.encode_to_vec(),
    }
}

/// A snapshot write that conflicts is no failure: another operator wrote one.
/// After a failed write, the next revision writes the snapshot.
fn accepted_outcome(
    pending: PendingWrite,
    snapshot: &PlatformResult,
) -> PublishOutcome {
    let failed = matches!(
        snapshot,
        PlatformResult::Unavailable | PlatformResult::Unanswered
    );
    PublishOutcome::Accepted {
        revision: pending.proposal.revision,
        changes: pending.proposal.changes,
        snapshot_failed: failed,
    }
}

fn give_up(state: &State, error: CtlError) -> PublishOutcome {
    match state {
        State::Write(pending) | State::ReadBack(pending) if pending.maybe_written => {
            PublishOutcome::Unknown(pending.proposal.revision)
        }
        _ => PublishOutcome::Failed(error),
    }
}
