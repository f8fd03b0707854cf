//! The decisions of publishing, without I/O.

use base::{PlatformOp, PlatformResult, Precondition, Revision};
use conf::{Diagnostic, REVISION_KEY_PREFIX, SNAPSHOT_KEY, revision_key};
use prost::Message;
use schema::link::ConfigChanges;

use super::proposal::{Base, Conflict, Proposal, Request, Verdict, judge};
use crate::CtlError;
use crate::changes::Change;
use crate::head::{Head, HeldObject, HeldSnapshot, READ_TRIES};

/// Revisions after which a new snapshot is written.
const SNAPSHOT_EVERY: u64 = 64;

/// Tries of one write, and of one read, that got no answer.
const TRIES: u32 = READ_TRIES;

/// Heads lost to other operators before a rebase gives up.
const REBASE_ROUNDS: u32 = 8;

/// What to do next.
#[derive(Debug)]
pub enum Step {
    /// Make this call and hand in its result.
    Call(PlatformOp),
    /// Make this call after a pause: the one before got no answer.
    CallLater(PlatformOp),
    /// Finished.
    Done(Outcome),
}

/// How publishing ended.
#[derive(Debug)]
pub enum Outcome {
    /// The change is accepted.
    Accepted {
        /// Its revision.
        revision: Revision,
        /// What it changed.
        changes: Vec<Change>,
        /// The snapshot was due and could not be written; a later one will be.
        snapshot_failed: bool,
    },
    /// The head has all of it already.
    Unchanged(Revision),
    /// Others published first; nothing was written.
    Conflict(Conflict),
    /// The document has faults together with the head; nothing was written.
    Faults(Vec<Diagnostic>),
    /// Nothing was written: the platform is away or the head is unusable.
    Failed(CtlError),
    /// The write may or may not have been accepted as this revision.
    Unknown(Revision),
}

/// Publishes one document; see the crate's invariants.
#[derive(Debug)]
pub struct Publisher {
    request: Request,
    /// Revision that the document was made from; set by the first head.
    base: Option<Base>,
    state: State,
    tries_left: u32,
    rounds_left: u32,
}

#[derive(Debug)]
enum State {
    ReadSnapshot,
    ListChanges(HeldObject),
    Write(Pending),
    ReadBack(Pending),
    WriteSnapshot(Pending),
    Finished,
}

/// A proposal on its way.
#[derive(Debug)]
struct Pending {
    proposal: Proposal,
    snapshot: Option<HeldSnapshot>,
    /// A write was sent whose effect is not known.
    maybe_written: bool,
}

impl Publisher {
    /// Begins to publish; the first step is a call.
    pub fn new(request: Request) -> Self {
        Self {
            request,
            base: None,
            state: State::ReadSnapshot,
            tries_left: TRIES,
            rounds_left: REBASE_ROUNDS,
        }
    }

    /// First step.
    pub fn begin(&mut self) -> Step {
        self.enter(State::ReadSnapshot)
    }

    /// Takes the result of the call asked for last.
    pub fn handle(&mut self, result: PlatformResult) -> Step {
        let state = std::mem::replace(&mut self.state, State::Finished);
        match state {
            State::ReadSnapshot => self.on_snapshot(result),
            State::ListChanges(snapshot) => self.on_changes(snapshot, result),
            State::Write(pending) => self.on_write(pending, &result),
            State::ReadBack(pending) => self.on_read_back(pending, result),
            State::WriteSnapshot(pending) => Step::Done(accepted(pending, &result)),
            State::Finished => Step::Done(Outcome::Failed(CtlError::PlatformAway)),
        }
    }

    fn on_snapshot(&mut self, result: PlatformResult) -> Step {
        match result {
            PlatformResult::Object(object) => self.enter(State::ListChanges(object)),
            _ => self.again(State::ReadSnapshot, CtlError::PlatformAway),
        }
    }

    fn on_changes(&mut self, snapshot: HeldObject, result: PlatformResult) -> Step {
        let PlatformResult::Objects(objects, _) = result else {
            return self.again(State::ListChanges(snapshot), CtlError::PlatformAway);
        };
        match Head::new(&snapshot, &objects) {
            Ok(head) => self.on_head(&head),
            Err(error) => Step::Done(Outcome::Failed(error)),
        }
    }

    fn on_head(&mut self, head: &Head) -> Step {
        let base = match self.base.take().map_or_else(|| self.first_base(head), Ok) {
            Ok(base) => base,
            Err(error) => return Step::Done(Outcome::Failed(error)),
        };
        let verdict = judge(&self.request, &base, head);
        self.base = Some(base);
        match verdict {
            Verdict::Unchanged => Step::Done(Outcome::Unchanged(head.revision())),
            Verdict::Conflict(conflict) => Step::Done(Outcome::Conflict(conflict)),
            Verdict::Faults(faults) => Step::Done(Outcome::Faults(faults)),
            Verdict::Write(proposal) => self.enter(State::Write(Pending {
                proposal,
                snapshot: head.snapshot(),
                maybe_written: false,
            })),
        }
    }

    /// The first head is what the document was made from, unless told otherwise.
    fn first_base(&self, head: &Head) -> Result<Base, CtlError> {
        let revision = self.request.base.unwrap_or(head.revision());
        let document = head.document_at(revision)?;
        Ok(Base { revision, document })
    }

    /// The object is only created if absent, so a second write of the same
    /// bytes can't do harm. A refusal after a write without an answer still
    /// leaves that one's effect open: it may arrive late.
    fn on_write(&mut self, mut pending: Pending, result: &PlatformResult) -> Step {
        match result {
            PlatformResult::Written(_) => self.on_accepted(pending),
            PlatformResult::Conflict => self.go(State::ReadBack(pending)),
            PlatformResult::Unanswered => {
                pending.maybe_written = true;
                self.look_later(pending)
            }
            _ if pending.maybe_written => self.look_later(pending),
            _ => self.later(State::Write(pending)),
        }
    }

    fn on_read_back(&mut self, pending: Pending, result: PlatformResult) -> Step {
        match result {
            // The same bytes mean the same change against the same document:
            // whether this or another operator wrote them, it is accepted.
            PlatformResult::Object(Some((_, value)))
                if value == pending.proposal.patch =>
            {
                self.on_accepted(pending)
            }
            // A revision is never replaced, so this write has lost for good.
            PlatformResult::Object(Some(_)) => self.on_lost(&pending),
            PlatformResult::Object(None) => self.later(State::Write(pending)),
            _ => self.later(State::ReadBack(pending)),
        }
    }

    fn on_lost(&mut self, pending: &Pending) -> Step {
        if self.rounds_left == 0 {
            let conflict = Conflict {
                base: self.base.as_ref().map_or(0, |base| base.revision.0),
                head: pending.proposal.revision.0,
                theirs: Vec::new(),
                overlaps: Vec::new(),
            };
            return Step::Done(Outcome::Conflict(conflict));
        }
        self.rounds_left -= 1;
        self.enter(State::ReadSnapshot)
    }

    fn on_accepted(&mut self, pending: Pending) -> Step {
        let held = pending.snapshot.map_or(0, |held| held.revision.0);
        if pending.proposal.revision.0.saturating_sub(held) < SNAPSHOT_EVERY {
            return Step::Done(accepted(pending, &PlatformResult::Conflict));
        }
        self.enter(State::WriteSnapshot(pending))
    }

    /// Goes to a state and makes its call, with all tries anew.
    fn enter(&mut self, state: State) -> Step {
        self.tries_left = TRIES;
        self.go(state)
    }

    /// Goes to a state and makes its call, with the tries that are left.
    fn go(&mut self, state: State) -> Step {
        self.state = state;
        Step::Call(self.call())
    }

    /// Reads back after a pause. It costs no try, since what is found decides
    /// whether there is another: the last write must not go unlooked for.
    fn look_later(&mut self, pending: Pending) -> Step {
        self.state = State::ReadBack(pending);
        Step::CallLater(self.call())
    }

    /// Makes a state's call after a pause, while tries are left.
    fn later(&mut self, state: State) -> Step {
        let error = CtlError::PlatformAway;
        self.again(state, error)
    }

    fn again(&mut self, state: State, error: CtlError) -> Step {
        if self.tries_left <= 1 {
            return Step::Done(given_up(&state, error));
        }
        self.tries_left -= 1;
        self.state = state;
        Step::CallLater(self.call())
    }

    fn call(&self) -> PlatformOp {
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
            State::WriteSnapshot(pending) => snapshot_write(pending),
        }
    }
}

/// A snapshot only replaces the one that was read: an operator who was paused
/// here must not put an older document over a newer one.
fn snapshot_write(pending: &Pending) -> PlatformOp {
    let changes = ConfigChanges {
        snapshot: pending.proposal.document.to_string().into_bytes(),
        base_revision: pending.proposal.revision.0,
        changes: Vec::new(),
    };
    let precondition = pending.snapshot.map_or(Precondition::Absent, |held| {
        Precondition::Version(held.version)
    });
    PlatformOp::Write {
        key: SNAPSHOT_KEY.to_owned(),
        precondition,
        value: changes.encode_to_vec(),
    }
}

/// A snapshot that lost to another's is as good as written; one that failed is
/// made up for by the next revision.
fn accepted(pending: Pending, snapshot: &PlatformResult) -> Outcome {
    let failed = matches!(
        snapshot,
        PlatformResult::Unavailable | PlatformResult::Unanswered
    );
    Outcome::Accepted {
        revision: pending.proposal.revision,
        changes: pending.proposal.changes,
        snapshot_failed: failed,
    }
}

fn given_up(state: &State, error: CtlError) -> Outcome {
    match state {
        State::Write(pending) | State::ReadBack(pending) if pending.maybe_written => {
            Outcome::Unknown(pending.proposal.revision)
        }
        _ => Outcome::Failed(error),
    }
}
